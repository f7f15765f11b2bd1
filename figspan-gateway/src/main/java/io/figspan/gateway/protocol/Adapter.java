package io.figspan.gateway.protocol;

/** All that an adapter to an outside platform provides. */
public interface Adapter {
    CallerProtocol callers();

    BackendProtocol backends();

    StoreProtocol store();

    FleetProtocol fleet();

    OperatorProtocol operator();
}
