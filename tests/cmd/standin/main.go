// Command standin runs the stand-ins for the platform and the backend servers, and the demo.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/ebonylock/ebonylock/tests/fleet"
	"github.com/ebonylock/ebonylock/tests/standin"
)

func main() {
	deployment := &cli.StringFlag{Name: "deployment", Value: "addis", Usage: "addis or texas"}
	app := &cli.Command{
		Name:  "standin",
		Usage: "stand-ins for the platform and the backend servers",
		Commands: []*cli.Command{
			{Name: "platform", Usage: "key-value store and VM list", Action: platform},
			{Name: "backends", Usage: "backend servers of a data centre", Action: backends, Flags: []cli.Flag{deployment, &cli.StringFlag{Name: "data-centre"}, &cli.DurationFlag{Name: "work", Usage: "mean time of a run (default: that of the deployment)"}}},
			{Name: "run", Usage: "start a fleet and wait for a signal", Action: run, Flags: []cli.Flag{deployment, &cli.IntFlag{Name: "base-port", Value: 7100}}},
			{Name: "demo", Usage: "start a fleet, send it a search and a request, and stop it", Action: demo},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// announceAndWait prints v as one line of JSON, which the parent process reads, and waits for
// SIGTERM or SIGINT.
func announceAndWait(v any) error {
	if err := json.NewEncoder(os.Stdout).Encode(v); err != nil {
		return err
	}
	waitForSignal()
	return nil
}

func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
}

func platform(context.Context, *cli.Command) error {
	store, err := standin.NewStore()
	if err != nil {
		return err
	}
	list, err := standin.NewVMList()
	if err != nil {
		return err
	}
	return announceAndWait(map[string]any{"store": store.Addr(), "list": list.Addr()})
}

func backends(_ context.Context, c *cli.Command) error {
	d, ok := standin.FindDeployment(c.String("deployment"))
	if !ok {
		return fmt.Errorf("unknown deployment %q", c.String("deployment"))
	}
	var cfgs []standin.BackendConfig
	for _, cfg := range d.Backends() {
		if c.IsSet("work") {
			cfg.Work = c.Duration("work")
		}
		if cfg.DataCentre == c.String("data-centre") {
			cfgs = append(cfgs, cfg)
		}
	}
	g, err := standin.NewGroup(cfgs)
	if err != nil {
		return err
	}
	return announceAndWait(map[string]any{"control": g.Addr(), "servers": g.ListEntries()})
}

// startFleet starts a fleet of 7 VMs with the named deployment. The binaries are taken from the
// directory of this program.
func startFleet(name string, basePort int, log io.Writer) (*fleet.Fleet, error) {
	d, ok := standin.FindDeployment(name)
	if !ok {
		return nil, fmt.Errorf("unknown deployment %q", name)
	}
	bin, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return fleet.Start(fleet.Config{Bin: filepath.Dir(bin), Deployment: d, VMs: 7, BasePort: basePort, Log: log})
}

func run(_ context.Context, c *cli.Command) error {
	f, err := startFleet(c.String("deployment"), c.Int("base-port"), os.Stderr)
	if err != nil {
		return err
	}
	d, _ := standin.FindDeployment(c.String("deployment"))
	fmt.Printf("7 entry VMs are ready; the searches are:\n")
	for name, services := range d.Searches() {
		fmt.Printf("  %s (%d services)\n", name, len(services))
	}
	fmt.Printf("Ask:     bin/ebonylock query --callers %s stand-search\n", f.VMs[0].Callers)
	fmt.Printf("         bin/ebonylock request --callers %s reservations '{\"hall\":\"Arat Kilo\"}'\n", f.VMs[0].Callers)
	fmt.Printf("Operate: bin/ebonylock status --operators %s --token %s\n", f.VMs[0].Operators, fleet.Token)
	fmt.Printf("Stop:    Ctrl-C\n")
	waitForSignal()
	return f.Stop()
}

func demo(context.Context, *cli.Command) error {
	f, err := startFleet("addis", 0, io.Discard)
	if err != nil {
		return err
	}
	callErr := sendSampleCalls(f)
	if err := f.Stop(); err != nil {
		return err
	}
	if callErr != nil {
		return callErr
	}
	return demoSite()
}

// siteVMs is the number of VMs that demoSite starts.
const siteVMs = 3

// demoSite starts VMs on the stand-ins of the users' platform, checks that each answers a search
// completely, and stops them.
func demoSite() error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	f, err := fleet.StartSite(filepath.Dir(exe), siteVMs, 0, io.Discard)
	if err != nil {
		return err
	}
	defer f.Kill()
	for _, vm := range f.VMs {
		if err := f.CheckComplete(vm); err != nil {
			return err
		}
		fmt.Printf("%s on the users' platform: all parts\n", vm.ID)
	}
	for _, vm := range f.VMs {
		if err := vm.Stop(); err != nil {
			return err
		}
	}
	return nil
}

// sendSampleCalls sends a search and a request. It returns an error unless the search's answer is
// complete and the request was done.
func sendSampleCalls(f *fleet.Fleet) error {
	_, raw, err := f.CallVM(f.VMs[0], "/v1/search/stand-search", map[string]any{"query": map[string]string{"item": "cake stand"}, "deadline-ms": 2000})
	if err != nil {
		return err
	}
	fmt.Printf("%s\n", raw)
	var answer struct {
		Complete bool `json:"complete"`
	}
	if err := json.Unmarshal(raw, &answer); err != nil || !answer.Complete {
		return fmt.Errorf("search answer is not complete")
	}
	_, raw, err = f.CallVM(f.VMs[0], "/v1/ticket", nil)
	if err != nil {
		return err
	}
	var ticket struct {
		Ticket string `json:"ticket"`
	}
	if err := json.Unmarshal(raw, &ticket); err != nil {
		return err
	}
	body := map[string]any{"request": map[string]string{"hall": "Arat Kilo"}, "ticket": ticket.Ticket, "deadline-ms": 2000}
	_, raw, err = f.CallVM(f.VMs[1], "/v1/request/reservations", body)
	if err != nil {
		return err
	}
	fmt.Printf("%s\n", raw)
	var outcome struct {
		Outcome string `json:"outcome"`
	}
	if err := json.Unmarshal(raw, &outcome); err != nil || outcome.Outcome != "done" {
		return fmt.Errorf("request was not done")
	}
	return nil
}
