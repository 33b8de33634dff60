package scale

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgimg" // registers the png format
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the svg format
)

// Layout of the plot: the panels per row, and their size and spacing.
const (
	plotColumns = 2
	panelWidth  = 10 * vg.Centimeter
	panelHeight = 6 * vg.Centimeter
	panelGap    = 6 * vg.Millimeter
)

// PlotFile plots the figures of reports over the number of gateways, each with its fitted line. The file extension selects
// the format: svg or png.
func PlotFile(path string, reports []*Report) error {
	rows := (len(Figures) + plotColumns - 1) / plotColumns
	panels := make([][]*plot.Plot, rows)
	for row := range panels {
		panels[row] = make([]*plot.Plot, plotColumns)
	}
	for i, figure := range Figures {
		panel, err := newPanel(figure, reports)
		if err != nil {
			return fmt.Errorf("scale: plot of %s: %w", figure.Name, err)
		}
		panels[i/plotColumns][i%plotColumns] = panel
	}
	format := strings.TrimPrefix(filepath.Ext(path), ".")
	canvas, err := draw.NewFormattedCanvas(plotColumns*panelWidth, vg.Length(rows)*panelHeight, format)
	if err != nil {
		return fmt.Errorf("scale: plot: %w", err)
	}
	tiles := draw.Tiles{Rows: rows, Cols: plotColumns, PadX: panelGap, PadY: panelGap, PadTop: panelGap, PadRight: panelGap, PadLeft: panelGap}
	for row, areas := range plot.Align(panels, tiles, draw.New(canvas)) {
		for column, area := range areas {
			if panel := panels[row][column]; panel != nil {
				panel.Draw(area)
			}
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("scale: plot: %w", err)
	}
	if _, err := canvas.WriteTo(file); err != nil {
		file.Close()
		return fmt.Errorf("scale: plot: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("scale: plot: %w", err)
	}
	return nil
}

// newPanel creates the plot of one figure.
func newPanel(figure Figure, reports []*Report) (*plot.Plot, error) {
	panel := plot.New()
	panel.Title.Text = figure.Name
	panel.X.Label.Text = "gateways"
	panel.Y.Label.Text = figure.Unit
	panel.X.Min, panel.Y.Min = 0, 0
	x, y := points(figure, reports)
	measured := make(plotter.XYs, len(x))
	for i := range x {
		measured[i] = plotter.XY{X: x[i], Y: y[i]}
	}
	scatter, err := plotter.NewScatter(measured)
	if err != nil {
		return nil, err
	}
	scatter.Shape = draw.CircleGlyph{}
	fit := FitFigure(figure, reports)
	line := plotter.NewFunction(func(gateways float64) float64 { return fit.Intercept + fit.Slope*gateways })
	line.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
	panel.Add(plotter.NewGrid(), scatter, line)
	panel.X.Min, panel.Y.Min = 0, 0 // both axes start at 0, whatever range Add has set
	return panel, nil
}
