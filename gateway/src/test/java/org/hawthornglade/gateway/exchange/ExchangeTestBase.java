package org.hawthornglade.gateway.exchange;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** An entry in front of two scripted endpoints, the near one of which is chosen first. */
abstract class ExchangeTestBase {
    ScriptedEndpoint near;
    ScriptedEndpoint far;
    TestEntry entry;

    @BeforeEach
    void start() throws IOException {
        near = new ScriptedEndpoint();
        far = new ScriptedEndpoint();
        entry = new TestEntry(List.of(near, far));
    }

    @AfterEach
    void stop() {
        entry.close();
        near.close();
        far.close();
    }
}
