package org.hawthornglade.gateway.exchange;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Starts an entry with two scripted endpoints; the one in the local failure domain is chosen first. */
abstract class ExchangeTestBase {
    ScriptedEndpoint local;
    ScriptedEndpoint remote;
    TestEntry entry;

    @BeforeEach
    void start() throws IOException {
        local = new ScriptedEndpoint();
        remote = new ScriptedEndpoint();
        entry = new TestEntry(List.of(local, remote));
    }

    @AfterEach
    void stop() {
        entry.close();
        local.close();
        remote.close();
    }
}
