package publisher

import (
	"bytes"

	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/loader"
)

// plan returns the publication that brings the documents into force, and what
// it changes. Documents that are in force already are left out.
func (p *Publisher) plan(fold *configurer.StateMachine, documents []loader.Document) (configurer.Publication, []Difference, error) {
	publication := configurer.Publication{Publisher: p.name}
	var differences []Difference
	for _, d := range documents {
		current, _ := fold.Entry(d.Key())
		change, changed, err := planChange(d, current)
		if err != nil {
			return configurer.Publication{}, nil, err
		}
		if changed {
			publication.Changes = append(publication.Changes, change)
			differences = append(differences, compare(current, change))
		}
	}
	publication.Preconditions = planGuards(fold, publication.Changes)
	return publication, differences, nil
}

func planChange(d loader.Document, current configurer.Entry) (configurer.Change, bool, error) {
	change := configurer.Change{Key: d.Key(), ParentRevision: current.Revision, Removed: d.Removed(), Document: d.Document()}
	exists := current.Revision > 0 && !current.Removed
	if d.Removed() {
		return change, exists, nil
	}
	content, err := encoder.EncodeDocument(d.Document(), current.Content)
	change.Content = content
	return change, !exists || !bytes.Equal(content, current.Content), err
}

// planGuards protects what the checks relied on besides the parents. Ranks must
// not change meanwhile, since services and customers name them and their floors
// add up. Where a rank is removed, nothing may begin to name it.
func planGuards(fold *configurer.StateMachine, changes []configurer.Change) []configurer.Precondition {
	if len(changes) == 0 {
		return nil
	}
	kinds := []configurer.Kind{configurer.RankKind}
	for _, c := range changes {
		if c.Removed && c.Key.Kind() == configurer.RankKind {
			kinds = []configurer.Kind{configurer.RankKind, configurer.ServiceKind, configurer.CustomerKind}
		}
	}
	guards := make([]configurer.Precondition, len(kinds))
	for i, k := range kinds {
		guards[i] = configurer.Precondition{Kind: k, LatestRevision: fold.LatestEntry(k).Revision}
	}
	return guards
}
