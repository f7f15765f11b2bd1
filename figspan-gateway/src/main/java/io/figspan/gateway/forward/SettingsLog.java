package io.figspan.gateway.forward;

import io.figspan.core.event.Part;
import io.figspan.core.id.SettingsVersion;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.settings.gateway.CallerAccess;
import io.figspan.settings.gateway.GatewaySettings;

/** Writes which settings have come into force, and what of them has not. */
final class SettingsLog {
    private final DecisionLog log;
    private final GatewayMetrics metrics;

    SettingsLog(DecisionLog log, GatewayMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Writes a version that comes into force.
     *
     * @param before the version in force until now
     * @param access the access by the version after those before it
     */
    void applied(GatewaySettings settings, SettingsVersion before, CallerAccess access) {
        metrics.count("settings.applied");
        log.info(Part.SETTINGS, "settingsInForce")
                .number("version", settings.version().number())
                .number("before", before.number())
                .number("routes", settings.routes().size())
                .number("organisations", access.organisations().size())
                .text("keysRequired", access.requiresKey())
                .number("keys", access.keyCount())
                .write();
        if (access.requiresKey() && !settings.access().requiresKey()) {
            log.warn(Part.SETTINGS, "keysMissing")
                    .number("version", settings.version().number())
                    .write();
        }
        settings.rejectedEntries().forEach(entry -> log.warn(Part.SETTINGS, "settingsEntryRejected")
                .number("version", settings.version().number())
                .text("reason", entry)
                .write());
    }
}
