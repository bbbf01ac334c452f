package org.hawthornglade.app.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.beust.jcommander.JCommander;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.hawthornglade.app.ExitCode;
import org.hawthornglade.app.process.Ports;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests the gateway end to end over sockets: settings, feeds, lease, orders, calls of each kind and stop. */
@Tag("process")
class RehearsalCommandTest {
    private static final int PORT_COUNT = 20;

    @Test
    void servesEveryCallAndLogsTheLifecycle() throws Exception {
        RehearsalCommand command = new RehearsalCommand();
        JCommander.newBuilder().addObject(command).build().parse("--port", "" + Ports.freeRange(PORT_COUNT));
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        ExitCode code = command.run(new PrintStream(written, true, StandardCharsets.UTF_8));
        String log = written.toString(StandardCharsets.UTF_8);
        assertThat(log).contains("failed: 0");
        assertThat(code).isEqualTo(ExitCode.OK);
        assertThat(log).contains("event=leader-won token=1");
        assertThat(log).contains("event=order ");
        assertThat(log).contains("event=lease-given-up written=true");
        assertThat(log).contains("event=stop ");
        assertThat(log).doesNotContain("event=internal-error");
    }
}
