package io.figspan.gateway;

/** Where the configuration of the process comes from; it may change while the process runs. */
public interface ConfigSource {
    /** Whether the configuration may differ from the one that was read last. */
    boolean hasChanged();

    /** Reads the configuration; throws a {@code HOST_FILE_INVALID} exception that names the field. */
    GatewayConfig read();
}
