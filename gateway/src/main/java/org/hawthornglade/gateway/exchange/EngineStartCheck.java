package org.hawthornglade.gateway.exchange;

import java.util.function.Consumer;
import java.util.function.Predicate;
import org.hawthornglade.core.fleet.InstanceRecord;
import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.replica.EngineReport;
import org.hawthornglade.gateway.port.EngineControl;

/** Requests the report of an engine, which names its start; an instance without models has none to request. */
public final class EngineStartCheck implements StartCheck {
    /** The start in a report that names none. */
    private static final long NOT_STATED_MS = 0;

    private final EngineControl control;
    private final Predicate<ServiceName> runsModels;

    /**
     * Creates a check.
     *
     * @param runsModels which services run models
     */
    public EngineStartCheck(EngineControl control, Predicate<ServiceName> runsModels) {
        this.control = control;
        this.runsModels = runsModels;
    }

    @Override
    public void check(InstanceRecord record, Consumer<Result> done) {
        if (!runsModels.test(record.service())) {
            done.accept(Result.SAME);
            return;
        }
        control.report(record, report -> done.accept(report.fold(failure -> Result.UNKNOWN, of -> result(record, of))));
    }

    private static Result result(InstanceRecord record, EngineReport report) {
        long bornMs = report.version().bornMs();
        if (bornMs == NOT_STATED_MS) {
            return Result.UNKNOWN;
        }
        return bornMs == record.bornMs() ? Result.SAME : Result.OTHER;
    }
}
