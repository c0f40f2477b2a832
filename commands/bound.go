package commands

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/pelletier/go-toml/v2"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwplacement"
	"knapweedproxy/platform"
)

// boundCmd estimates the request rate that the model servers of a deployment can serve.
type boundCmd struct {
	Declaration string `required:"" type:"existingfile" help:"The declaration, a JSON file as operators send it."`
	Fleet       string `required:"" type:"existingfile" help:"The model servers: a TOML file with [[servers]] tables of service, zone, accelerator and count."`
}

// fleetFile lists the model servers of a deployment by service, zone and accelerator.
type fleetFile struct {
	Servers []struct {
		Service     kwid.ServiceName      `toml:"service"`
		Zone        kwid.AvailabilityZone `toml:"zone"`
		Accelerator string                `toml:"accelerator"`
		Count       int                   `toml:"count"`
	} `toml:"servers"`
}

// Run prints, for each service with an engine and each availability zone, the rate of typical requests that the planned
// placement can serve, the rate after the loss of a server, and an upper bound for any placement.
func (c *boundCmd) Run(s *streams) error {
	d, err := readDeclaration(c.Declaration)
	if err != nil {
		return err
	}
	fleet, err := readFleet(c.Fleet)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "service\tzone\tservers\tcopies\trate\tafter a loss\tbound\t")
	for i := range d.Services {
		service := &d.Services[i]
		if service.Engine == nil {
			continue
		}
		servers, err := fleet.serversOf(service)
		if err != nil {
			return err
		}
		for _, estimate := range kwplacement.EstimateZones(service.Engine, servers) {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", service.Name, estimate.Zone, estimate.Servers, estimate.Copies, estimate.Rate, estimate.RateAfterLoss, estimate.RateBound)
		}
	}
	if err := w.Flush(); err != nil {
		return kwcode.New(kwcode.OperationFailed, "%v", err)
	}
	return nil
}

func readDeclaration(name string) (*kwdeclaration.Declaration, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, kwcode.New(kwcode.SettingsFile, "%v", err)
	}
	return kwplatform.DeclarationDecoder{}.Decode(text)
}

func readFleet(name string) (*fleetFile, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, kwcode.New(kwcode.SettingsFile, "%v", err)
	}
	var f fleetFile
	if err := toml.Unmarshal(text, &f); err != nil {
		return nil, kwcode.New(kwcode.SettingsSyntax, "%s: %v", name, err)
	}
	return &f, nil
}

// serversOf returns the servers of a service, each with a generated ID.
func (f *fleetFile) serversOf(service *kwdeclaration.Service) ([]kwplacement.Server, error) {
	var out []kwplacement.Server
	for _, group := range f.Servers {
		if group.Service != service.Name {
			continue
		}
		accelerator := service.Engine.Accelerator(group.Accelerator)
		if accelerator == nil {
			return nil, kwcode.New(kwcode.SettingsReference, "service %s has no accelerator %q", service.Name, group.Accelerator)
		}
		for range group.Count {
			id := kwid.EndpointID(fmt.Sprintf("%s-%d", group.Accelerator, len(out)))
			out = append(out, kwplacement.Server{ID: id, Zone: group.Zone, Address: string(id), MemoryMB: accelerator.MemoryMB, StepTimeFactor: accelerator.StepTimeFactor})
		}
	}
	return out, nil
}
