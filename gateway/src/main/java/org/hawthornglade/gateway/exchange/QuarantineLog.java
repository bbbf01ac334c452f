package org.hawthornglade.gateway.exchange;

import java.util.stream.Collectors;
import org.hawthornglade.core.quarantine.CrashReport;
import org.hawthornglade.core.quarantine.PromptQuarantine;
import org.hawthornglade.core.quarantine.QuarantinedPart;
import org.hawthornglade.core.quarantine.Suspect;
import org.hawthornglade.gateway.log.EventLog;
import org.hawthornglade.gateway.metrics.GatewayMetrics;

/** Logs what is decided on parts of prompts that may crash instances. */
public final class QuarantineLog implements PromptQuarantine.Listener {
    private final EventLog log;
    private final GatewayMetrics metrics;

    /** Creates a listener that writes to a log. */
    public QuarantineLog(EventLog log, GatewayMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void onSuspects(CrashReport report) {
        log.event("crash-suspects")
                .with("instance", report.crash().instance())
                .with("born", report.crash().bornMs())
                .with("suspects", report.suspects().stream().map(Suspect::value).collect(Collectors.joining(",")))
                .write();
    }

    @Override
    public void onCleared(Suspect part) {
        log.event("suspect-cleared").with("part", part).write();
    }

    @Override
    public void onQuarantined(QuarantinedPart part) {
        metrics.count("parts_quarantined");
        log.event("part-quarantined")
                .with("part", part.part())
                .with("together", part.members().size())
                .with("times", part.quarantines())
                .write();
    }

    @Override
    public void onReleased(Suspect part) {
        log.event("part-released").with("part", part).write();
    }
}
