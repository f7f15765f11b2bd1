package io.figspan.gateway;

import io.figspan.core.error.FigspanException;
import io.figspan.core.event.Part;
import io.figspan.gateway.log.DecisionLog;
import java.util.function.Consumer;

/**
 * Reloads the configuration while the process runs. The open ports and the identity of the host change only with a
 * restart; a configuration that can't be read leaves the current one in force.
 */
final class ConfigReloader {
    private final ConfigSource source;
    private final DecisionLog log;
    private final Consumer<GatewayConfig> listener;
    private GatewayConfig inForce;

    /**
     * Creates a reloader.
     *
     * @param listener receives each configuration that differs from the one in force
     */
    ConfigReloader(ConfigSource source, GatewayConfig inForce, DecisionLog log, Consumer<GatewayConfig> listener) {
        this.source = source;
        this.inForce = inForce;
        this.log = log;
        this.listener = listener;
    }

    /** Reloads the configuration if its source has changed. */
    void tick() {
        if (source.hasChanged()) {
            reload("the configuration source has changed");
        }
    }

    void reload(String reason) {
        GatewayConfig loaded;
        try {
            loaded = source.read();
        } catch (FigspanException e) {
            log.warn(Part.SETTINGS, "reloadFailed")
                    .text("reason", e.detail())
                    .text("at", e.location())
                    .write();
            return;
        }
        boolean changed = !loaded.equals(inForce);
        log.info(Part.SETTINGS, "reloaded")
                .text("reason", reason)
                .text("changed", changed)
                .text("needsRestart", !loaded.withReloadable(inForce).equals(inForce))
                .write();
        if (changed) {
            inForce = loaded;
            listener.accept(loaded);
        }
    }
}
