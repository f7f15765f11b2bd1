package io.figspan.gateway.protocol;

import io.figspan.core.error.Result;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.settings.gateway.GatewaySettings;

/** Decodes the items of the store. */
public interface FleetProtocol {
    /** The prefix of the key that holds the settings. */
    String settingsPrefix();

    boolean isSettings(String key);

    Result<GatewaySettings> decodeSettings(byte[] value);

    /** The prefix of the keys that hold the registered backend servers. */
    String serversPrefix();

    /** The name of the server that is registered under a key. */
    String serverName(String key);

    /** Decodes the entry of a server; fails if it describes no usable server. */
    Result<BackendServer> decodeServer(String key, byte[] value);
}
