package faultproxy

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Paths of the control interface.
const (
	PathLinks = "/links"
	PathRules = "/rules"
)

// linkAdded is the reply to a new link.
type linkAdded struct {
	Address string `json:"address"`
}

// ruleAdded is the reply to a new rule.
type ruleAdded struct {
	ID int `json:"id"`
}

// Handler returns the HTTP control interface.
func (p *Proxy) Handler() http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	router.GET(PathLinks, func(c echo.Context) error { return c.JSON(http.StatusOK, p.Links()) })
	router.POST(PathLinks, p.postLink)
	router.GET(PathRules, func(c echo.Context) error { return c.JSON(http.StatusOK, p.Rules()) })
	router.POST(PathRules, p.postRule)
	router.DELETE(PathRules, p.deleteRules)
	router.DELETE(PathRules+"/:id", p.deleteRule)
	return router
}

func (p *Proxy) postLink(c echo.Context) error {
	var config LinkConfig
	if err := c.Bind(&config); err != nil {
		return err
	}
	address, err := p.AddLink(config)
	if err != nil {
		return echo.NewHTTPError(http.StatusConflict, err.Error())
	}
	return c.JSON(http.StatusOK, linkAdded{Address: address})
}

func (p *Proxy) postRule(c echo.Context) error {
	var rule Rule
	if err := c.Bind(&rule); err != nil {
		return err
	}
	id, err := p.AddRule(rule)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, ruleAdded{ID: id})
}

func (p *Proxy) deleteRule(c echo.Context) error {
	id, err := strconv.Atoi(c.Param("id"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "id: "+err.Error())
	}
	err = p.RemoveRule(id)
	if errors.Is(err, ErrNoRule) {
		return echo.NewHTTPError(http.StatusNotFound, err.Error())
	}
	return c.NoContent(http.StatusNoContent)
}

func (p *Proxy) deleteRules(c echo.Context) error {
	p.ClearRules()
	return c.NoContent(http.StatusNoContent)
}
