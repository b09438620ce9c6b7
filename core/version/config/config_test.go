package config

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianhead/core/version/resource"
)

func change(revision resource.Revision) resource.Object {
	return resource.Object{Kind: resource.KindModel, Name: "m", Revision: revision, Model: &resource.Model{}}
}

func TestRevisionInForceNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := New()
		highest := resource.Revision(0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			revision := resource.Revision(rapid.IntRange(1, 10).Draw(t, "revision"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				core.Step(StoreHead{Revision: revision})
			case 1:
				core.Step(PeerHead{Instance: "p", Revision: revision})
			case 2:
				core.Step(Changes{Objects: []resource.Object{change(revision), change(revision + 1)}})
			case 3:
				core.Step(State{Revision: revision, Objects: []resource.Object{change(revision)}})
			}
			if core.Ready().Snapshot != nil {
				core.Advance()
			}
			if core.InForce() < highest {
				t.Fatalf("revision fell from %d to %d", highest, core.InForce())
			}
			highest = core.InForce()
		}
	})
}

func TestChangesWithGapAreNotApplied(t *testing.T) {
	core := New()
	core.Step(Changes{Objects: []resource.Object{change(2)}})
	assert.Equal(t, core.InForce(), resource.Revision(0))
	core.Step(Changes{Objects: []resource.Object{change(1), change(2)}})
	assert.Equal(t, core.InForce(), resource.Revision(2))
}
