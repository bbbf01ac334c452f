package org.hawthornglade.gateway;

import org.hawthornglade.core.serving.ServingConfiguration;
import org.hawthornglade.core.team.SharedKey;
import org.hawthornglade.gateway.log.EventLog;

/** Logs which teams list a key that belongs to an earlier team of the configuration, without the key. */
final class SharedKeyLog {
    private SharedKeyLog() {}

    static void write(EventLog log, ServingConfiguration configuration) {
        for (SharedKey shared : configuration.teams().sharedKeys()) {
            log.event("key-given-twice")
                    .with("config", configuration.version())
                    .with("holder", shared.holder())
                    .with("team", shared.other())
                    .write();
        }
    }
}
