package publisher

import (
	"bytes"

	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/loader"
)

// buildPublication returns a publication of the documents that differ from those in
// force, and the differences. Unchanged documents are left out.
func (p *Publisher) buildPublication(stateMachine *configurer.StateMachine, documents []loader.Document) (configurer.Publication, []Difference, error) {
	publication := configurer.Publication{Publisher: p.operatorName}
	var differences []Difference
	for _, d := range documents {
		current, _ := stateMachine.Entry(d.Key())
		change, changed, err := buildChange(d, current)
		if err != nil {
			return configurer.Publication{}, nil, err
		}
		if changed {
			publication.Changes = append(publication.Changes, change)
			differences = append(differences, diffDocument(current, change))
		}
	}
	publication.Preconditions = buildPreconditions(stateMachine, publication.Changes)
	return publication, differences, nil
}

func buildChange(d loader.Document, current configurer.Entry) (configurer.Change, bool, error) {
	change := configurer.Change{Key: d.Key(), ParentRevision: current.Revision, Removed: d.Removed(), Document: d.Document()}
	inForce := current.Revision > 0 && !current.Removed
	if d.Removed() {
		return change, inForce, nil
	}
	content, err := encoder.EncodeDocument(d.Document(), current.Content)
	change.Content = content
	return change, !inForce || !bytes.Equal(content, current.Content), err
}

// buildPreconditions returns preconditions for what the checks relied on beyond the
// parent revisions of the changed documents. No rank may change concurrently, since
// services and customers refer to ranks and the sum of the ranks' floors is
// limited. If a rank is removed, services and customers must not change either,
// since one of them could start to refer to it.
func buildPreconditions(stateMachine *configurer.StateMachine, changes []configurer.Change) []configurer.Precondition {
	if len(changes) == 0 {
		return nil
	}
	kinds := []configurer.Kind{configurer.RankKind}
	for _, c := range changes {
		if c.Removed && c.Key.Kind() == configurer.RankKind {
			kinds = []configurer.Kind{configurer.RankKind, configurer.ServiceKind, configurer.CustomerKind}
		}
	}
	preconditions := make([]configurer.Precondition, len(kinds))
	for i, k := range kinds {
		preconditions[i] = configurer.Precondition{Kind: k, LatestRevision: stateMachine.LatestEntry(k).Revision}
	}
	return preconditions
}
