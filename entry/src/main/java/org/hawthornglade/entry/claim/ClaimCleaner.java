package org.hawthornglade.entry.claim;

import io.vavr.control.Either;
import java.util.List;
import org.hawthornglade.core.id.OrganisationId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.ports.table.Condition;
import org.hawthornglade.ports.table.Row;
import org.hawthornglade.ports.table.TableService;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.ports.table.TransactionOutcome;
import org.hawthornglade.ports.table.Write;

/**
 * Deletes claims that are older than the retention period, one shard of the table at a time.
 *
 * <p>A call with the same idempotency key may run again once its claim is deleted. For use by one thread.
 */
public final class ClaimCleaner {
    private static final int HEX_DIGITS = 2;
    private static final int SHARDS = 1 << (4 * HEX_DIGITS);
    private static final int MAX_DELETED_ROWS = 100;

    private final TableService table;
    private final Clock clock;
    private final long retentionMs;
    private int shard;

    /**
     * Creates a cleaner.
     *
     * @param retentionMs how long a claim is kept after its last write, in milliseconds
     * @param firstShard the shard to start with, so that several entries need not all start with the same shard
     */
    public ClaimCleaner(TableService table, Clock clock, long retentionMs, int firstShard) {
        this.table = table;
        this.clock = clock;
        this.retentionMs = retentionMs;
        this.shard = Math.floorMod(firstShard, SHARDS);
    }

    /**
     * Cleans the next shard of each organisation's claims, with one scan and at most one transaction per organisation.
     *
     * @return how many claims were deleted; left if the table service failed, in which case the next call cleans the
     *     same shard again
     */
    public Either<Failure, Integer> cleanNextShard(List<OrganisationId> organisations) {
        int deleted = 0;
        for (OrganisationId organisation : organisations) {
            Either<Failure, Integer> cleaned = clean(organisation);
            if (cleaned.isLeft()) {
                return cleaned;
            }
            deleted += cleaned.get();
        }
        shard = (shard + 1) % SHARDS;
        return Either.right(deleted);
    }

    private Either<Failure, Integer> clean(OrganisationId organisation) {
        String prefix = organisation.value() + "/" + String.format("%0" + HEX_DIGITS + "x", shard);
        return table.scan(ClaimTable.TABLE, prefix)
                .flatMap(rows -> delete(rows.stream()
                        .filter(this::isExpired)
                        .limit(MAX_DELETED_ROWS)
                        .toList()));
    }

    private boolean isExpired(Row row) {
        return ClaimJson.decode(row)
                .map(claim -> clock.nowMs() - Math.max(claim.atMs(), claim.deadlineAtMs()) > retentionMs)
                .orElse(false);
    }

    private Either<Failure, Integer> delete(List<Row> rows) {
        if (rows.isEmpty()) {
            return Either.right(0);
        }
        Transaction transaction = new Transaction(
                rows.stream().map(Condition::unchanged).toList(),
                rows.stream().map(row -> Write.delete(row.table(), row.key())).toList());
        return table.transact(transaction)
                .map(TransactionOutcome::committed)
                .map(committed -> committed ? rows.size() : 0);
    }
}
