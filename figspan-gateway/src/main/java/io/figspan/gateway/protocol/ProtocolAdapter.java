package io.figspan.gateway.protocol;

/** Translates the protocols of one outside platform; implemented once per platform. */
public interface ProtocolAdapter {
    CallerProtocol callers();

    BackendProtocol backends();

    StoreProtocol store();

    FleetProtocol fleet();

    OperatorProtocol operator();
}
