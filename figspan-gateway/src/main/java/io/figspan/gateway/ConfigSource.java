package io.figspan.gateway;

/** Source of the configuration, which may change while the process runs. */
public interface ConfigSource {
    /** Whether the configuration may have changed since it was last read. */
    boolean hasChanged();

    /** Reads the configuration; throws a {@code HOST_FILE_INVALID} exception that names the field. */
    GatewayConfig read();
}
