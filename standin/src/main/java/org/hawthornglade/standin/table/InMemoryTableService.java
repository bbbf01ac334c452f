package org.hawthornglade.standin.table;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.ports.table.Condition;
import org.hawthornglade.ports.table.Row;
import org.hawthornglade.ports.table.TableService;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.ports.table.TransactionOutcome;
import org.hawthornglade.ports.table.Write;
import org.hawthornglade.standin.time.TokenBucket;

/** Keeps tables in memory, with serialisable transactions, revisions that are never reused, and rate limits. */
public final class InMemoryTableService implements TableService {
    private record RowKey(String table, String key) {}

    private final Map<String, NavigableMap<String, Row>> tables = new TreeMap<>();
    private final TokenBucket writes;
    private final TokenBucket reads;
    private long revision;
    private long readCalls;
    private long scanCalls;
    private long transactionCalls;
    private long rateLimited;

    /** Creates an empty service. */
    public InMemoryTableService(TableSettings settings, Clock clock) {
        this.writes = new TokenBucket(settings.writesPerSecond(), clock);
        this.reads = new TokenBucket(settings.readsPerSecond(), clock);
    }

    @Override
    public synchronized Either<Failure, Optional<Row>> read(String table, String key) {
        readCalls++;
        return takeToken(reads).map(allowed -> Optional.ofNullable(rows(table).get(key)));
    }

    @Override
    public synchronized Either<Failure, List<Row>> scan(String table, String keyPrefix) {
        scanCalls++;
        return takeToken(reads)
                .map(allowed -> rows(table).tailMap(keyPrefix, true).values().stream()
                        .takeWhile(row -> row.key().startsWith(keyPrefix))
                        .toList());
    }

    @Override
    public synchronized Either<Failure, TransactionOutcome> transact(Transaction transaction) {
        transactionCalls++;
        return takeToken(writes).flatMap(allowed -> validate(transaction)).map(this::commit);
    }

    /** Returns the number of calls since the start. */
    public synchronized CallCounts calls() {
        return new CallCounts(readCalls, scanCalls, transactionCalls, rateLimited);
    }

    private Either<Failure, Boolean> takeToken(TokenBucket limit) {
        long waitMs = limit.takeOrGetWaitMs();
        if (waitMs == 0) {
            return Either.right(true);
        }
        rateLimited++;
        return Either.left(Failure.retryAfter(ResultCode.PLATFORM_RATE_LIMITED, "too many calls a second", waitMs));
    }

    private static Either<Failure, Transaction> validate(Transaction transaction) {
        Set<RowKey> written = new HashSet<>();
        for (Write write : transaction.writes()) {
            if (write.table() == null || write.key() == null) {
                return Either.left(Failure.of(ResultCode.PLATFORM_REJECTED, "a write has no table or no key"));
            }
            if (!written.add(new RowKey(write.table(), write.key()))) {
                return Either.left(Failure.of(ResultCode.PLATFORM_REJECTED, "a row is written twice"));
            }
        }
        return Either.right(transaction);
    }

    private TransactionOutcome commit(Transaction transaction) {
        List<Row> conflicts = conflicts(transaction);
        if (!conflicts.isEmpty()) {
            return new TransactionOutcome(false, conflicts);
        }
        revision++;
        transaction.writes().forEach(this::apply);
        return new TransactionOutcome(true, List.of());
    }

    private List<Row> conflicts(Transaction transaction) {
        List<Row> conflicts = new ArrayList<>();
        for (Condition condition : transaction.conditions()) {
            Row row = rows(condition.table()).get(condition.key());
            long actual = row == null ? Condition.ABSENT : row.revision();
            if (actual != condition.revision()) {
                conflicts.add(row == null ? new Row(condition.table(), condition.key(), Condition.ABSENT, null) : row);
            }
        }
        return conflicts;
    }

    private void apply(Write write) {
        if (write.json() == null) {
            rows(write.table()).remove(write.key());
            return;
        }
        rows(write.table()).put(write.key(), new Row(write.table(), write.key(), revision, write.json()));
    }

    private NavigableMap<String, Row> rows(String table) {
        return tables.computeIfAbsent(table, name -> new TreeMap<>());
    }
}
