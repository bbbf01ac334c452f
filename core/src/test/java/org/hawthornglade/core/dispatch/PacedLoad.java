package org.hawthornglade.core.dispatch;

import java.util.List;
import org.hawthornglade.core.id.ModelName;
import org.hawthornglade.core.serving.CallKind;
import org.hawthornglade.core.serving.Route;

/** The calls and the days that {@link PacedDeployment} plays. */
final class PacedLoad {
    private PacedLoad() {}

    /** A kind of call, with its rate and its sizes in tokens. */
    record Kind(Route route, double perS, int sharedTokens, int prefixes, int ownTokens, int outputTokens) {}

    static final List<Kind> KINDS = List.of(
            new Kind(route("audit-digest", 815, 5_094, 1), 21.1, 6_300, 4, 2_890, 60),
            new Kind(route("audit-premium", 5_015, 17_051, 2), 15.7, 6_300, 4, 2_890, 100),
            new Kind(route("fault-explain", 407, 15_244, 0), 27, 1_200, 3, 500, 80));

    /** What happens in a play. */
    enum Day {
        /** Noise, and models that are loaded and unloaded. */
        USUAL(1, false),
        /** As usual, with bursts of twice the load. */
        BURSTS(2, false),
        /** Single engines restart every 2.5 s. */
        RESTARTS(1, false),
        /** All engines have just started, and calls have waited for them. */
        COLD_START(1.5, false),
        /** A quarter of the engines crash together, twice. */
        RECOVERY(1.5, false),
        /** Bursts, at engines that crash when their memory is full. */
        PRESSURE(2, true);

        final double burst;
        final boolean crashWhenFull;

        Day(double burst, boolean crashWhenFull) {
            this.burst = burst;
            this.crashWhenFull = crashWhenFull;
        }
    }

    private static Route route(String name, long targetMs, long deadlineMs, int priority) {
        return new Route(
                name,
                "h.example",
                "/" + name + "/",
                CallKind.STREAM,
                deadlineMs,
                targetMs,
                500,
                deadlineMs,
                3,
                priority,
                true,
                List.of());
    }

    static ModelName model(int index) {
        return ModelName.of("m" + index);
    }

    /** Every third model is large and runs at 0.3 of the speed. */
    static double modelSpeed(ModelName model) {
        return Integer.parseInt(model.value().substring(1)) % 3 == 2 ? 0.3 : 1;
    }
}
