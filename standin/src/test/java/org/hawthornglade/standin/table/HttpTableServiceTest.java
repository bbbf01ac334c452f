package org.hawthornglade.standin.table;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.table.HttpTableService;
import org.hawthornglade.ports.table.TableService;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.ports.table.Write;
import org.hawthornglade.standin.HttpFixture;
import org.hawthornglade.standin.fault.FaultScript;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class HttpTableServiceTest extends TableServiceContract {
    private static final int TIMEOUT_MS = 20_000;
    private static final int WRITES_PER_SECOND = 50;

    private HttpFixture fixture;

    @Override
    TableService open(FaultScript script, int timeoutMs) {
        fixture = new HttpFixture(new TableSettings(HttpFixture.NAME, 0, WRITES_PER_SECOND, 0, script), timeoutMs);
        return new HttpTableService(fixture.uri(), fixture.http());
    }

    @Override
    InMemoryTableService standin() {
        return fixture.standins().table(HttpFixture.NAME);
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void aRefusedConnectionIsReportedAsUnavailable() {
        TableService service = open(FaultScript.NONE, TIMEOUT_MS);
        fixture.standins().closePort(HttpFixture.NAME);
        Transaction write = new Transaction(List.of(), List.of(Write.put("t", "k", "{}")));

        assertThat(service.transact(write).getLeft().code()).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
        assertThat(service.read("t", "k").getLeft().code()).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);

        fixture.standins().openPort(HttpFixture.NAME);
        assertThat(service.transact(write).get().committed()).isTrue();
    }
}
