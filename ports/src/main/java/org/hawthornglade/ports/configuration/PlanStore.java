package org.hawthornglade.ports.configuration;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hawthornglade.core.id.PlanId;
import org.hawthornglade.core.plan.Plan;
import org.hawthornglade.core.plan.PlanJson;
import org.hawthornglade.core.plan.PlanSummary;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.http.PlatformJson;
import org.hawthornglade.ports.table.Condition;
import org.hawthornglade.ports.table.Row;
import org.hawthornglade.ports.table.TableService;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.ports.table.Write;

/** Stores the plans of all offices, so that any entry can confirm them. */
public final class PlanStore {
    /** The table of the complete plans. */
    public static final String TABLE = "plans";

    /** The table of the summaries of the plans that are not confirmed, small enough to be read together. */
    public static final String SUMMARY_TABLE = "plan-summaries";

    /** How long a plan that is not confirmed is kept, in milliseconds. */
    public static final long RETENTION_MS = 24L * 60 * 60 * 1000;

    private static final int MAX_EXPIRED_DELETES_PER_SAVE = 20;
    private static final TypeReference<PlanSummary> SUMMARY = new TypeReference<>() {};

    private final TableService table;

    /** Creates a store over a table service. */
    public PlanStore(TableService table) {
        this.table = table;
    }

    /**
     * Saves a new plan and deletes some that have expired.
     *
     * @param expired plans that are past {@link #RETENTION_MS}
     * @param replaced the stale plan that it replaces, if there is one
     */
    public Either<Failure, Plan> save(Plan plan, List<PlanSummary> expired, Optional<Plan> replaced) {
        String key = plan.id().value();
        List<Write> writes = new ArrayList<>();
        writes.add(Write.put(TABLE, key, PlanJson.write(plan)));
        writes.add(Write.put(SUMMARY_TABLE, key, PlatformJson.write(PlanSummary.of(plan))));
        replaced.map(stale -> PlanSummary.of(stale).replacedBy(plan.id()))
                .ifPresent(
                        stale -> writes.add(Write.put(SUMMARY_TABLE, stale.id().value(), PlatformJson.write(stale))));
        expired.stream()
                .filter(old -> !isReplaced(old, replaced))
                .limit(MAX_EXPIRED_DELETES_PER_SAVE)
                .forEach(old -> {
                    writes.add(Write.delete(TABLE, old.id().value()));
                    writes.add(Write.delete(SUMMARY_TABLE, old.id().value()));
                });
        Transaction transaction = new Transaction(List.of(Condition.absent(TABLE, key)), writes);
        return table.transact(transaction)
                .flatMap(outcome -> outcome.committed()
                        ? Either.right(plan)
                        : Either.left(Failure.of(ResultCode.INTERNAL_ERROR, "the plan id is already in use")));
    }

    /** Returns whether an expired plan is also the replaced one; a transaction may write a row only once. */
    private static boolean isReplaced(PlanSummary old, Optional<Plan> replaced) {
        return replaced.isPresent() && replaced.get().id().equals(old.id());
    }

    /** Reads a plan; left with UNKNOWN_PLAN if there is none or it has expired. */
    public Either<Failure, Plan> find(PlanId id) {
        return table.read(TABLE, id.value())
                .flatMap(row -> row.map(found -> PlanJson.read(found.json()))
                        .orElseGet(() -> Either.left(Failure.of(
                                ResultCode.UNKNOWN_PLAN, "there is no plan " + id + ", or it has been deleted"))));
    }

    /** Reads the summaries of all plans that are not confirmed. */
    public Either<Failure, List<PlanSummary>> summaries() {
        return table.scan(SUMMARY_TABLE, "").flatMap(PlanStore::parse);
    }

    private static Either<Failure, List<PlanSummary>> parse(List<Row> rows) {
        List<PlanSummary> summaries = new ArrayList<>();
        for (Row row : rows) {
            Either<Failure, PlanSummary> summary = PlatformJson.read(row.json(), SUMMARY);
            if (summary.isLeft()) {
                return Either.left(summary.getLeft());
            }
            summaries.add(summary.get());
        }
        return Either.right(summaries);
    }
}
