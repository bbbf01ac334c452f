package org.hawthornglade.ports.configuration;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.hawthornglade.core.assignment.Assignment;
import org.hawthornglade.core.assignment.AssignmentState;
import org.hawthornglade.core.id.InstanceId;
import org.hawthornglade.core.placement.AssignmentRow;
import org.hawthornglade.core.placement.RowChange;
import org.hawthornglade.core.result.Failure;
import org.hawthornglade.core.result.ResultCode;
import org.hawthornglade.ports.http.PlatformJson;
import org.hawthornglade.ports.table.Condition;
import org.hawthornglade.ports.table.Row;
import org.hawthornglade.ports.table.TableService;
import org.hawthornglade.ports.table.Transaction;
import org.hawthornglade.ports.table.TransactionOutcome;
import org.hawthornglade.ports.table.Write;

/** Reads and writes the assignment rows; every write requires that the row is unchanged since it was read. */
public final class AssignmentStore {
    private static final int MAX_CHANGES_PER_TRANSACTION = 50;
    private static final TypeReference<Assignment> ASSIGNMENT = new TypeReference<>() {};

    private final TableService table;

    /** Creates a store over a table service. */
    public AssignmentStore(TableService table) {
        this.table = table;
    }

    /** Reads all rows. */
    public Either<Failure, List<AssignmentRow>> rows() {
        return table.scan(Assignment.TABLE, "").flatMap(AssignmentStore::parse);
    }

    /** Reads the rows that an instance holds. */
    public Either<Failure, List<AssignmentRow>> rowsOf(InstanceId instance) {
        return rows().map(rows -> rows.stream()
                .filter(row -> row.assignment().instance().equals(instance))
                .toList());
    }

    /**
     * Marks a row as released by its holder.
     *
     * @param row the row as it was read
     * @param guards further conditions, such as that the holder's fencing number is still the newest
     * @return right and false if the row is no longer as it was read, or a guard does not hold
     */
    public Either<Failure, Boolean> release(AssignmentRow row, Condition... guards) {
        Assignment released = row.assignment().withState(AssignmentState.RELEASED);
        List<Condition> conditions = new ArrayList<>(List.of(guards));
        conditions.add(new Condition(Assignment.TABLE, released.key(), row.revision()));
        Transaction transaction = new Transaction(
                conditions, List.of(Write.put(Assignment.TABLE, released.key(), PlatformJson.write(released))));
        return table.transact(transaction).map(TransactionOutcome::committed);
    }

    /**
     * Writes row changes, several dozen per transaction, while the configuration they are based on is the newest.
     *
     * <p>A row that has changed in the meantime is skipped; the next pass decides on it again. For the same reason a
     * transaction whose outcome is unknown is not repeated.
     *
     * @param changes the changes
     * @param head the head of the configuration they are based on
     * @return the changes that are known to be written; left with STALE_PLAN if a newer configuration is confirmed
     */
    public Either<Failure, List<RowChange>> apply(List<RowChange> changes, ConfigurationHead head) {
        List<RowChange> written = new ArrayList<>();
        for (int from = 0; from < changes.size(); from += MAX_CHANGES_PER_TRANSACTION) {
            List<RowChange> batch = changes.subList(from, Math.min(changes.size(), from + MAX_CHANGES_PER_TRANSACTION));
            Either<Failure, List<RowChange>> outcome = applyBatch(batch, head);
            if (outcome.isLeft()) {
                return outcome;
            }
            written.addAll(outcome.get());
        }
        return Either.right(written);
    }

    private Either<Failure, List<RowChange>> applyBatch(List<RowChange> batch, ConfigurationHead head) {
        List<RowChange> remaining = batch;
        while (!remaining.isEmpty()) {
            Either<Failure, TransactionOutcome> outcome = table.transact(transaction(remaining, head));
            if (outcome.isLeft()) {
                return Either.left(outcome.getLeft());
            }
            if (outcome.get().committed()) {
                return Either.right(remaining);
            }
            if (headChanged(outcome.get())) {
                return Either.left(Failure.of(
                        ResultCode.STALE_PLAN, "configuration version " + head.version() + " is no longer the newest"));
            }
            List<RowChange> rest = withoutConflicts(remaining, outcome.get());
            if (rest.size() == remaining.size()) {
                return Either.left(Failure.of(
                        ResultCode.PLATFORM_REJECTED, "the table service reported a conflict without naming a row"));
            }
            remaining = rest;
        }
        return Either.right(List.of());
    }

    private static boolean headChanged(TransactionOutcome outcome) {
        return outcome.conflicts().stream().anyMatch(row -> row.table().equals(ConfigurationStore.TABLE));
    }

    private static List<RowChange> withoutConflicts(List<RowChange> changes, TransactionOutcome outcome) {
        Set<String> conflicts = outcome.conflicts().stream().map(Row::key).collect(Collectors.toSet());
        return changes.stream()
                .filter(change -> !conflicts.contains(change.assignment().key()))
                .toList();
    }

    private static Transaction transaction(List<RowChange> changes, ConfigurationHead head) {
        List<Condition> conditions = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        conditions.add(head.unchanged());
        for (RowChange change : changes) {
            String key = change.assignment().key();
            conditions.add(new Condition(Assignment.TABLE, key, change.revision()));
            writes.add(
                    change.kind() == RowChange.Kind.DELETE
                            ? Write.delete(Assignment.TABLE, key)
                            : Write.put(Assignment.TABLE, key, PlatformJson.write(change.assignment())));
        }
        return new Transaction(conditions, writes);
    }

    private static Either<Failure, List<AssignmentRow>> parse(List<Row> rows) {
        List<AssignmentRow> parsed = new ArrayList<>();
        for (Row row : rows) {
            Either<Failure, Assignment> assignment = PlatformJson.read(row.json(), ASSIGNMENT);
            if (assignment.isLeft()) {
                return Either.left(assignment.getLeft());
            }
            parsed.add(new AssignmentRow(assignment.get(), row.revision()));
        }
        return Either.right(parsed);
    }
}
