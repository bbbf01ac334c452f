package org.hawthornglade.standin.table;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.hawthornglade.core.time.ManualClock;
import org.hawthornglade.ports.table.TableService;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.standin.fault.FaultInjector;
import org.hawthornglade.standin.fault.FaultScript;
import org.hawthornglade.standin.fault.FaultyCalls;
import org.junit.jupiter.api.Test;

final class InMemoryTableServiceTest extends TableServiceContract {
    private InMemoryTableService tables;

    @Override
    TableService open(FaultScript script, int timeoutMs) {
        tables = new InMemoryTableService(TableSettings.of("table"), new ManualClock(0));
        return new FaultyTableService(tables, new FaultyCalls(new FaultInjector(script), timeoutMs));
    }

    @Override
    InMemoryTableService standin() {
        return tables;
    }

    @Test
    void theRateLimitRefillsOverTime() {
        ManualClock clock = new ManualClock(0);
        InMemoryTableService tables = new InMemoryTableService(new TableSettings("t", 0, 2, 2, null), clock);
        Transaction empty = new Transaction(List.of(), List.of());

        assertThat(tables.transact(empty).isRight()).isTrue();
        assertThat(tables.transact(empty).isRight()).isTrue();
        assertThat(tables.transact(empty).getLeft().retryAfterMs()).isEqualTo(500);
        clock.advance(500);
        assertThat(tables.transact(empty).isRight()).isTrue();
        assertThat(tables.calls().rateLimited()).isEqualTo(1);
    }
}
