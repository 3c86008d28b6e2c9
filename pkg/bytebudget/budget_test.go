package bytebudget_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/bytebudget"
)

const limit = 1 << 20

// fill opens holds of the given size until the budget denies one, and returns them.
func fill(g *WithT, budget *bytebudget.Budget, size int64) []*bytebudget.Hold {
	var holds []*bytebudget.Hold
	for {
		hold := budget.Open()
		err := hold.Grow(size, 0)
		if err != nil {
			g.Expect(err).To(MatchError(bytebudget.ErrExhausted))
			return holds
		}
		holds = append(holds, hold)
	}
}

// TestTheSumIsBounded checks that large bodies together stay within the budget, and leave a part of it to
// small ones.
func TestTheSumIsBounded(t *testing.T) {
	g := NewWithT(t)
	budget := bytebudget.New(limit)
	fill(g, budget, 64<<10)
	g.Expect(budget.Stats().UsedBytes).To(BeNumerically("~", limit*7/8, 64<<10))
	small := fill(g, budget, 4<<10)
	g.Expect(small).NotTo(BeEmpty())
	g.Expect(budget.Stats().UsedBytes).To(BeNumerically("<=", limit))
	g.Expect(budget.Stats().Exhaustions).To(BeEquivalentTo(2))
}

// TestASingleBodyIsServed checks that a body larger than the budget is served while no other large one is
// there.
func TestASingleBodyIsServed(t *testing.T) {
	g := NewWithT(t)
	budget := bytebudget.New(limit)
	large := budget.Open()
	g.Expect(large.Grow(3*limit, 0)).To(Succeed())
	g.Expect(budget.Open().Grow(3*limit, 0)).To(MatchError(bytebudget.ErrExhausted))
	large.Release()
	large.Release()
	g.Expect(budget.Stats().UsedBytes).To(BeZero())
	g.Expect(budget.Open().Grow(3*limit, 0)).To(Succeed())
}

// TestTheClientThatIsWaitedForLongestIsEvicted checks that holds are evicted in the order in which their
// waits began, none before it has waited for a second, and none that waits for no client.
func TestTheClientThatIsWaitedForLongestIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		budget := bytebudget.New(limit)
		holds := fill(g, budget, 64<<10)
		var evicted []int
		for index := len(holds) - 1; index > 0; index-- {
			holds[index].AwaitClient(func() { evicted = append(evicted, index) })
			time.Sleep(time.Millisecond)
		}
		g.Expect(budget.Open().Grow(64<<10, 0)).To(MatchError(bytebudget.ErrExhausted), "nobody has waited for long")
		time.Sleep(time.Second)
		g.Expect(budget.Open().Grow(128<<10, 0)).To(Succeed())
		last := len(holds) - 1
		g.Expect(evicted).To(Equal([]int{last, last - 1}))
		g.Expect(holds[last].ClientDone()).To(MatchError(bytebudget.ErrEvicted))
		g.Expect(holds[last].Grow(1, 0)).To(MatchError(bytebudget.ErrEvicted))
		g.Expect(holds[last-2].ClientDone()).To(Succeed())
		g.Expect(budget.EvictLongestWaiting(time.Now())).To(BeTrue())
		g.Expect(evicted).To(HaveLen(3))
		g.Expect(evicted).NotTo(ContainElement(last - 2))
	})
}

// TestGrowWaitsForRoom checks that a hold that may wait gets the bytes that others release, or those of a
// client that has been waited for long enough by then, and that its patience ends.
func TestGrowWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		budget := bytebudget.New(limit)
		holds := fill(g, budget, 64<<10)
		began := time.Now()
		time.AfterFunc(300*time.Millisecond, holds[0].Release)
		g.Expect(budget.Open().Grow(64<<10, 2*time.Second)).To(Succeed())
		g.Expect(time.Since(began)).To(Equal(300 * time.Millisecond))

		began = time.Now()
		holds[1].AwaitClient(func() {})
		g.Expect(budget.Open().Grow(64<<10, 2*time.Second)).To(Succeed())
		g.Expect(time.Since(began)).To(BeNumerically("~", time.Second, 100*time.Millisecond))

		began = time.Now()
		g.Expect(budget.Open().Grow(64<<10, 2*time.Second)).To(MatchError(bytebudget.ErrExhausted))
		g.Expect(time.Since(began)).To(Equal(2 * time.Second))
	})
}

// TestReadAll checks bodies with and without an announced length, read in pieces of all kinds.
func TestReadAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		size := rapid.IntRange(0, 200<<10).Draw(t, "size")
		most := rapid.Int64Range(0, 200<<10).Draw(t, "limit")
		content := bytes.Repeat([]byte("x"), size)
		length := int64(-1)
		if rapid.Bool().Draw(t, "announced") {
			length = int64(size)
		}
		var reader io.Reader = bytes.NewReader(content)
		if rapid.Bool().Draw(t, "in halves") {
			reader = iotest.HalfReader(reader)
		}
		if rapid.Bool().Draw(t, "error with data") {
			reader = iotest.DataErrReader(reader)
		}
		budget := bytebudget.New(limit)
		hold := budget.Open()
		body, err := hold.ReadAll(reader, length, most, 0)
		if int64(size) > most {
			g.Expect(err).To(MatchError(bytebudget.ErrTooLarge))
		} else {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(bytes.Equal(body, content)).To(BeTrue())
			g.Expect(budget.Stats().UsedBytes).To(BeNumerically(">=", size))
			g.Expect(budget.Stats().UsedBytes).To(BeNumerically("<=", 2*size+4<<10))
		}
		hold.Release()
		g.Expect(budget.Stats().UsedBytes).To(BeZero())
	})
}

// TestReadAllOfABodyThatIsCut checks that a body shorter than announced is an error, and that memory is
// taken as it arrives only.
func TestReadAllOfABodyThatIsCut(t *testing.T) {
	g := NewWithT(t)
	budget := bytebudget.New(limit)
	_, err := budget.Open().ReadAll(strings.NewReader("little"), 8<<20, 8<<20, 0)
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(budget.Stats().UsedBytes).To(BeNumerically("<=", 64<<10))
}

// TestWithoutALimit checks that no budget and no hold stand for no limit.
func TestWithoutALimit(t *testing.T) {
	g := NewWithT(t)
	budget := bytebudget.New(0)
	hold := budget.Open()
	hold.AwaitClient(func() {})
	g.Expect(hold.Grow(1<<40, 0)).To(Succeed())
	body, err := hold.ReadAll(strings.NewReader("body"), -1, 10, 0)
	g.Expect(string(body), err).To(Equal("body"))
	g.Expect(hold.ClientDone()).To(Succeed())
	hold.Release()
	g.Expect(budget.EvictLongestWaiting(time.Now())).To(BeFalse())
	g.Expect(budget.Stats()).To(BeZero())
}

// TestConcurrentHolds checks, for the race detector, that holds are used and evicted at once, and that
// the sum is zero when all are released.
func TestConcurrentHolds(t *testing.T) {
	g := NewWithT(t)
	budget := bytebudget.New(limit)
	var users sync.WaitGroup
	for range 8 {
		users.Go(func() {
			for range 500 {
				hold := budget.Open()
				hold.AwaitClient(func() {})
				_ = hold.Grow(100<<10, time.Millisecond) // Most are denied.
				budget.EvictLongestWaiting(time.Now().Add(time.Hour))
				_ = hold.ClientDone() // Most are evicted.
				hold.Release()
			}
		})
	}
	users.Wait()
	g.Expect(budget.Stats().UsedBytes).To(BeZero())
}
