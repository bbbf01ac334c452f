package org.hawthornglade.entry.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.RequestId;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.core.time.Clock;
import org.hawthornglade.platform.table.Condition;
import org.hawthornglade.platform.table.Row;
import org.hawthornglade.platform.table.TableService;
import org.hawthornglade.platform.table.Transaction;
import org.hawthornglade.platform.table.TransactionOutcome;
import org.hawthornglade.platform.table.Write;

/** Claims kept in the table service, a row each. */
public final class TableClaims implements Claims {
    /** The table that holds a row for each claim. */
    public static final String TABLE = "claims";

    private static final JsonMapper MAPPER = new JsonMapper();
    private static final int MAX_RECORDED_BYTES = 64 * 1024;

    private final TableService table;
    private final Clock clock;

    /** Creates claims in a table service. */
    public TableClaims(TableService table, Clock clock) {
        this.table = table;
        this.clock = clock;
    }

    @Override
    public Either<Failure, ClaimResult> claim(ClaimKey key, RequestId request) {
        Condition absent = Condition.absent(TABLE, key.rowKey());
        return put(key, request, absent).flatMap(outcome -> {
            if (outcome.committed()) {
                return Either.right(new ClaimResult.Taken());
            }
            return resolve(key, request, outcome.conflicts().get(0));
        });
    }

    @Override
    public Either<Failure, Boolean> done(ClaimKey key, RequestId request, RecordedAnswer answer) {
        String body = answer.body().length > MAX_RECORDED_BYTES
                ? null
                : Base64.getEncoder().encodeToString(answer.body());
        return change(
                key,
                request,
                new Claim(
                        Claim.State.DONE,
                        request.value(),
                        key.fingerprint(),
                        clock.nowMs(),
                        answer.status(),
                        answer.contentType(),
                        body));
    }

    @Override
    public Either<Failure, Boolean> notRun(ClaimKey key, RequestId request) {
        return change(key, request, open(Claim.State.NOT_RUN, key, request));
    }

    private Either<Failure, ClaimResult> resolve(ClaimKey key, RequestId request, Row row) {
        Claim held = parse(row);
        if (held.request().equals(request.value()) && held.state() == Claim.State.CLAIMED) {
            // An earlier try of this request took effect though its reply was lost.
            return Either.right(new ClaimResult.Taken());
        }
        if (!held.fingerprint().equals(key.fingerprint())) {
            return Either.left(
                    Failure.of(ResultCode.IDEMPOTENCY_KEY_REUSED, "this idempotency key was used for another call"));
        }
        if (held.state() != Claim.State.NOT_RUN) {
            return Either.right(new ClaimResult.HeldByOther(held));
        }
        return put(key, request, Condition.unchanged(row))
                .map(outcome -> outcome.committed()
                        ? new ClaimResult.Taken()
                        : new ClaimResult.HeldByOther(parse(outcome.conflicts().get(0))));
    }

    /** Writes a fresh claim; a lost reply is resolved by reading back. */
    private Either<Failure, TransactionOutcome> put(ClaimKey key, RequestId request, Condition condition) {
        Write write = Write.put(TABLE, key.rowKey(), write(open(Claim.State.CLAIMED, key, request)));
        Either<Failure, TransactionOutcome> outcome =
                table.transact(new Transaction(List.of(condition), List.of(write)));
        if (outcome.isRight() || outcome.getLeft().code() != ResultCode.PLATFORM_OUTCOME_UNKNOWN) {
            return outcome.mapLeft(TableClaims::notPossible);
        }
        return table.read(TABLE, key.rowKey()).mapLeft(TableClaims::notPossible).flatMap(row -> readBack(row, request));
    }

    private static Either<Failure, TransactionOutcome> readBack(Optional<Row> row, RequestId request) {
        if (row.isEmpty()) {
            return Either.left(notPossible(Failure.of(ResultCode.PLATFORM_OUTCOME_UNKNOWN, "the claim was lost")));
        }
        Claim held = parse(row.get());
        boolean mine = held.request().equals(request.value()) && held.state() == Claim.State.CLAIMED;
        return Either.right(new TransactionOutcome(mine, mine ? List.of() : List.of(row.get())));
    }

    private Either<Failure, Boolean> change(ClaimKey key, RequestId request, Claim next) {
        return table.read(TABLE, key.rowKey()).flatMap(row -> {
            if (row.isEmpty() || !parse(row.get()).request().equals(request.value())) {
                return Either.right(false);
            }
            Transaction transaction = new Transaction(
                    List.of(Condition.unchanged(row.get())), List.of(Write.put(TABLE, key.rowKey(), write(next))));
            return table.transact(transaction).map(TransactionOutcome::committed);
        });
    }

    private Claim open(Claim.State state, ClaimKey key, RequestId request) {
        return new Claim(state, request.value(), key.fingerprint(), clock.nowMs(), 0, null, null);
    }

    private static Failure notPossible(Failure cause) {
        long retryAfterMs = Math.max(1_000, cause.retryAfterMs());
        return Failure.retryAfter(
                ResultCode.CLAIM_NOT_POSSIBLE, "the call could not be claimed: " + cause.message(), retryAfterMs);
    }

    private static String write(Claim claim) {
        try {
            return MAPPER.writeValueAsString(claim);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Claim parse(Row row) {
        try {
            return MAPPER.readValue(row.json(), Claim.class);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
