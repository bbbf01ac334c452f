package org.hawthornglade.core.quarantine;

import java.util.List;
import java.util.Set;

/**
 * What the leader publishes to all entries; times are on the steady clock of the entry that holds the update.
 *
 * @param suspects the parts on which entries report completed answers
 * @param quarantined all parts in quarantine
 */
public record QuarantineUpdate(Set<Suspect> suspects, List<QuarantinedPart> quarantined) {
    /** Copies the collections. */
    public QuarantineUpdate {
        suspects = Set.copyOf(suspects);
        quarantined = List.copyOf(quarantined);
    }
}
