package io.figspan.gateway;

import io.figspan.core.error.FigspanException;
import io.figspan.core.event.Part;
import io.figspan.gateway.log.DecisionLog;
import java.util.function.Consumer;

/**
 * Takes a changed configuration into force while the process runs. What is bound to open ports or to the identity of
 * the host needs a restart; a configuration that can't be read leaves the former one in force.
 */
final class ConfigReloader {
    private final ConfigSource source;
    private final DecisionLog log;
    private final Consumer<GatewayConfig> listener;
    private GatewayConfig inForce;

    /**
     * A reload.
     *
     * @param listener hears of each configuration that differs from the one in force
     */
    ConfigReloader(ConfigSource source, GatewayConfig inForce, DecisionLog log, Consumer<GatewayConfig> listener) {
        this.source = source;
        this.inForce = inForce;
        this.log = log;
        this.listener = listener;
    }

    /** Reads the configuration if its source has changed. */
    void tick() {
        if (source.hasChanged()) {
            reload("the source has changed");
        }
    }

    void reload(String reason) {
        GatewayConfig read;
        try {
            read = source.read();
        } catch (FigspanException e) {
            log.warn(Part.SETTINGS, "reloadFailed")
                    .text("reason", e.detail())
                    .text("at", e.location())
                    .write();
            return;
        }
        boolean changed = !read.equals(inForce);
        log.info(Part.SETTINGS, "reloaded")
                .text("reason", reason)
                .text("changed", changed)
                .text("needsRestart", !read.withReloadable(inForce).equals(inForce))
                .write();
        if (changed) {
            inForce = read;
            listener.accept(read);
        }
    }
}
