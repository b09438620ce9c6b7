package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/peterbourgon/ff/v4"
	"github.com/samber/lo"

	"gentianhead/core/request/ratelimit"
	"gentianhead/core/request/retry"
	"gentianhead/core/version/check"
	"gentianhead/core/version/resource"
	"gentianhead/fleet/request/admin"
	"gentianhead/platform"
)

var (
	errFindings = errors.New("the configuration has errors")
	// errNotChecked is for files and routers that can't be read.
	errNotChecked = errors.New("not checked")
)

const (
	// againstInForce is the value of --against for the resources in force.
	againstInForce = "in-force"
	textOutput     = "text"
	jsonOutput     = "json"
)

type checkOptions struct {
	against, output, settings, evacuated string
	strict                               bool
}

// addFlags registers the flags with their present values as defaults.
func (o *checkOptions) addFlags(flags *ff.FlagSet) *ff.FlagSet {
	flags.StringVar(&o.against, 0, "against", o.against, "also show what differs from a file, or from the resources in-force")
	flags.StringVar(&o.output, 'o', "", o.output, "output format: text or json")
	flags.StringVar(&o.settings, 0, "settings", o.settings, "a router's settings file on the platform: its regions, retry budget and bounds are checked too")
	flags.StringVar(&o.evacuated, 0, "evacuated", o.evacuated, "zones that are evacuated, separated by commas")
	flags.BoolVarDefault(&o.strict, 0, "strict", o.strict, "warnings fail as well")
	return flags
}

func (c *commands) checkCommand() *ff.Command {
	options := &checkOptions{output: textOutput}
	return &ff.Command{
		Name:      "check",
		Usage:     "gentianheadctl check FILE [--against FILE|in-force] [-o text|json] [--strict]",
		ShortHelp: "find mistakes in a configuration before it is sent, and show what callers will notice",
		LongHelp:  "FILE has resources, as apply reads them, or a configuration of the platform; - reads\nstandard input. Exit codes: 0 clean; 1 findings of severity error, with --strict also\nwarnings; 2 invalid usage, or a source can't be read.",
		Flags:     options.addFlags(ff.NewFlagSet("check").SetParent(c.flags)),
		Exec: func(ctx context.Context, args []string) error {
			return c.check(ctx, args, options)
		},
	}
}

func (c *commands) check(ctx context.Context, args []string, options *checkOptions) error {
	if len(args) == 0 {
		return errors.Wrap(errUsage, "check needs FILE")
	}
	// Flags may also follow FILE, where the parser ends.
	trailing := options.addFlags(ff.NewFlagSet("check"))
	if err := trailing.Parse(args[1:]); err != nil {
		return errors.Wrapf(errUsage, "check: %v", err)
	}
	if rest := trailing.GetArgs(); len(rest) > 0 {
		return errors.Wrapf(errUsage, "check: unexpected argument %q", rest[0])
	}
	if options.output != textOutput && options.output != jsonOutput {
		return errors.Wrapf(errUsage, "check: -o %q: allowed: text or json", options.output)
	}
	environment, err := options.environment()
	if err != nil {
		return err
	}
	data, err := c.readFile(args[0])
	if err != nil {
		return errors.Mark(err, errNotChecked)
	}
	findings, err := c.findings(ctx, data, options.against, environment)
	if err != nil {
		return err
	}
	check.Sort(findings)
	if err := c.printFindings(findings, options.output); err != nil {
		return err
	}
	if check.Count(findings, check.Error) > 0 || options.strict && check.Count(findings, check.Warning) > 0 {
		return errFindings
	}
	return nil
}

// environment returns what the flags say of the deployment.
func (o *checkOptions) environment() (check.Environment, error) {
	environment := check.DefaultEnvironment()
	for zone := range strings.SplitSeq(o.evacuated, ",") {
		if zone = strings.TrimSpace(zone); zone != "" {
			environment.Evacuated = append(environment.Evacuated, zone)
		}
	}
	if o.settings == "" {
		return environment, nil
	}
	settings, err := platform.LoadSettings(o.settings)
	if err != nil {
		return environment, errors.Mark(err, errNotChecked)
	}
	environment.Regions = settings.Regions
	limits := retry.FleetLimits{Ratio: settings.RetryRatio, Slack: settings.RetrySlack, Window: settings.RetryWindow}
	if most, isLimited := limits.MaxRetries(); isLimited {
		environment.MaxRetries = most
	}
	environment.ColdRate = func(perSecond float64) float64 {
		return ratelimit.ColdBound{PerSecond: perSecond, Overage: settings.ColdOverage, Tolerance: settings.ColdTolerance}.Limit().PerSecond
	}
	return environment, nil
}

func (c *commands) findings(ctx context.Context, data []byte, against string, environment check.Environment) ([]check.Finding, error) {
	isTable := platform.IsConfiguration(data)
	if against == againstInForce {
		if isTable {
			return nil, errors.Wrap(errUsage, "check: in-force is for resources; for a configuration of the platform --against takes a file")
		}
		base, err := c.resourcesInForce(ctx)
		if err != nil {
			return nil, errors.Mark(err, errNotChecked)
		}
		return checkResources(data, base, environment), nil
	}
	var other []byte
	if against != "" {
		var err error
		if other, err = c.readFile(against); err != nil {
			return nil, errors.Mark(err, errNotChecked)
		}
		if platform.IsConfiguration(other) != isTable {
			return nil, errors.Wrap(errUsage, "check: the files are of different formats")
		}
	}
	switch {
	case isTable:
		return checkTable(data, other, environment)
	case against == "":
		return checkResources(data, nil, environment), nil
	}
	objects, err := decodeResources(other, func(admin.ObjectBody) {})
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, against), errNotChecked)
	}
	return checkResources(data, resource.NewSnapshot(0, objects), environment), nil
}

func (c *commands) resourcesInForce(ctx context.Context) (*resource.Snapshot, error) {
	var list admin.ListBody
	if err := c.read(ctx, "/v1/resources", &list); err != nil {
		return nil, err
	}
	objects := lo.Map(list.Items, func(body admin.ObjectBody, _ int) resource.Object { return declaredObject(body) })
	return resource.NewSnapshot(list.Revision, objects), nil
}

// checkTable checks a configuration of the platform, and what differs from other unless it is nil.
func checkTable(data, other []byte, environment check.Environment) ([]check.Finding, error) {
	spec, faults, err := platform.CheckConfiguration(data)
	if err != nil {
		return []check.Finding{unreadable(err)}, nil
	}
	var document any
	if err := json.Unmarshal(data, &document); err != nil {
		return []check.Finding{unreadable(err)}, nil
	}
	findings := lo.Map(faults, func(fault *platform.ConfigurationError, _ int) check.Finding {
		return check.Finding{
			Severity: check.Error, Rule: check.RuleInvalid, Place: fault.Place, Field: fault.Field, Value: fault.Value, Allowed: fault.Allowed,
			Effect: "routers refuse the whole configuration",
		}
	})
	findings = append(findings, check.Table(spec, environment)...)
	findings = append(findings, check.UnknownFields(document, platform.KnownFields(), check.Warning, false)...)
	if other != nil {
		before, err := platform.DecodeConfiguration(other)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "--against"), errNotChecked)
		}
		changes, err := check.TableChanges(before, spec)
		if err != nil && len(findings) == 0 {
			return nil, errors.Mark(err, errNotChecked)
		}
		findings = append(findings, changes...)
	}
	for i := range findings {
		findings[i].Field = platform.FieldName(findings[i].Field)
	}
	return findings, nil
}

// unreadable returns the finding about a document that can't be decoded. Further lines of an
// error show a part of the file, which may contain a secret.
func unreadable(err error) check.Finding {
	firstLine, _, _ := strings.Cut(strings.TrimSpace(err.Error()), "\n")
	finding := check.Finding{
		Severity: check.Error, Rule: check.RuleUnreadable, Place: "file", Allowed: "well-formed documents with values of the right types",
		Effect: firstLine,
	}
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		finding.Place = fmt.Sprintf("file, byte %d", syntaxError.Offset)
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		finding.Field, finding.Value, finding.Allowed = typeError.Field, typeError.Value, typeError.Type.String()
		finding.Effect = "the file can't be read"
	}
	return finding
}

// checkResources checks documents of resources, and what differs from base unless it is nil.
func checkResources(data []byte, base *resource.Snapshot, environment check.Environment) []check.Finding {
	var findings []check.Finding
	documents := yaml.NewDecoder(bytes.NewReader(data))
	number := 0
	objects, err := decodeResources(data, func(body admin.ObjectBody) {
		number++
		findings = append(findings, unknownFields(documents, number, body)...)
	})
	if err != nil {
		var value any
		if syntaxErr := json.Unmarshal(data, &value); syntaxErr != nil && bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
			// The file is meant as JSON, perhaps as a configuration of the platform.
			err = syntaxErr
		}
		return append(findings, unreadable(err))
	}
	if base == nil {
		return append(findings, check.Resources(resource.NewSnapshot(0, nil), objects, environment)...)
	}
	findings = append(findings, check.Resources(base, objects, environment)...)
	return append(findings, check.ResourceChanges(base, objects)...)
}

// decodeResources decodes documents, ignores unknown fields, and calls visit for each.
func decodeResources(data []byte, visit func(admin.ObjectBody)) ([]resource.Object, error) {
	var objects []resource.Object
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.UseJSONUnmarshaler())
	for {
		var body admin.ObjectBody
		err := decoder.Decode(&body)
		if errors.Is(err, io.EOF) {
			return objects, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "document %d", len(objects)+1)
		}
		objects = append(objects, declaredObject(body))
		visit(body)
	}
}

// unknownFields returns the findings about unknown fields of the next document.
func unknownFields(documents *yaml.Decoder, number int, body admin.ObjectBody) []check.Finding {
	var document any
	if err := documents.Decode(&document); err != nil {
		return []check.Finding{unreadable(err)}
	}
	known := map[string][]string{
		"":              check.FieldNames(admin.ObjectBody{}),
		"endpoint":      check.FieldNames(resource.Endpoint{}),
		"clientAccount": check.FieldNames(resource.Account{}),
		"model":         check.FieldNames(resource.Model{}),
		"service":       check.FieldNames(resource.Service{}),
	}
	// apply refuses a file with an unknown field.
	findings := check.UnknownFields(document, known, check.Error, true)
	for i := range findings {
		findings[i].Place = fmt.Sprintf("document %d (%s %q): %s", number, body.Kind, body.Name, findings[i].Place)
		findings[i].Effect = "apply refuses the file"
	}
	return findings
}

// checkReport is the JSON output of check.
type checkReport struct {
	Errors   int             `json:"errors"`
	Warnings int             `json:"warnings"`
	Changes  int             `json:"changes"`
	Findings []check.Finding `json:"findings"`
}

func (c *commands) printFindings(findings []check.Finding, output string) error {
	report := checkReport{
		Errors: check.Count(findings, check.Error), Warnings: check.Count(findings, check.Warning), Changes: check.Count(findings, check.Change),
		Findings: append([]check.Finding{}, findings...),
	}
	if output == jsonOutput {
		encoder := json.NewEncoder(c.stdout)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		return encoder.Encode(report)
	}
	var text strings.Builder
	for _, finding := range findings {
		text.WriteString(findingLine(finding))
	}
	fmt.Fprintf(&text, "errors: %d, warnings: %d, changes: %d\n", report.Errors, report.Warnings, report.Changes)
	_, err := io.WriteString(c.stdout, text.String())
	return err
}

func findingLine(finding check.Finding) string {
	line := string(finding.Severity) + ": " + finding.Place
	if finding.Field != "" {
		line += ": " + finding.Field
	}
	if finding.Value != "" {
		line += " " + quote(finding.Value)
	}
	if finding.Allowed != "" {
		line += ": allowed: " + finding.Allowed
	}
	if finding.Effect != "" {
		line += ": " + finding.Effect
	}
	return line + " [" + string(finding.Rule) + "]\n"
}

// quote quotes a value, which may contain quotes itself.
func quote(value string) string {
	if strings.Contains(value, `"`) && strconv.CanBackquote(value) {
		return "`" + value + "`"
	}
	return strconv.Quote(value)
}
