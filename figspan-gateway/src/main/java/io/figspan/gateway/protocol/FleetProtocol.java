package io.figspan.gateway.protocol;

import io.figspan.core.error.Result;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.settings.gateway.GatewaySettings;

/** Translates the items of the store. */
public interface FleetProtocol {
    /** The prefix of the key that holds the settings. */
    String settingsPrefix();

    boolean isSettings(String key);

    Result<GatewaySettings> decodeSettings(byte[] value);

    /** The prefix of the keys that hold the registered backend servers. */
    String serversPrefix();

    /** The name of the server whose entry has this key. */
    String serverName(String key);

    /** Reads an entry; fails when it names no server that can be used. */
    Result<BackendServer> decodeServer(String key, byte[] value);
}
