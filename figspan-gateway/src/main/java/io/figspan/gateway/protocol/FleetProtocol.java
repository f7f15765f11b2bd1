package io.figspan.gateway.protocol;

import io.figspan.core.error.Result;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.settings.gateway.GatewaySettings;
import java.util.Optional;

/** Decodes the items of the store. */
public interface FleetProtocol {
    /** The prefix of the keys that hold the settings and the evacuated zones. */
    String settingsPrefix();

    boolean isSettings(String key);

    Result<GatewaySettings> decodeSettings(byte[] value);

    /**
     * The zone that the item under a key evacuates, whatever its value; empty if the key is of another kind. Throws an
     * {@code INVALID_VALUE} exception if the key names no valid zone.
     */
    Optional<AvailabilityZoneId> evacuatedZone(String key);

    /** The prefix of the keys that hold the registered backend servers. */
    String serversPrefix();

    /** The name of the server that is registered under a key. */
    String serverName(String key);

    /** Decodes the entry of a server; fails if it describes no usable server. */
    Result<BackendServer> decodeServer(String key, byte[] value);
}
