package io.figspan.policy.placing;

import io.figspan.core.id.BackendServerId;

/** Tells a placer which servers accept another request now. */
public interface RequestGate {
    /** Admits all requests. */
    RequestGate OPEN = new RequestGate() {
        @Override
        public boolean admits(BackendServerId server, long nowNanos) {
            return true;
        }

        @Override
        public void sent(BackendServerId server, long nowNanos) {
            // Nothing is counted.
        }
    };

    boolean admits(BackendServerId server, long nowNanos);

    /** Earliest time at which the server may accept another request, as far as is known; now if nothing is known. */
    default long reopensNanos(BackendServerId server, long nowNanos) {
        return nowNanos;
    }

    /** A request is placed at the server. */
    void sent(BackendServerId server, long nowNanos);

    /** A gate that admits what both this one and another one admit. */
    default RequestGate and(RequestGate other) {
        RequestGate first = this;
        return new RequestGate() {
            @Override
            public boolean admits(BackendServerId server, long nowNanos) {
                return first.admits(server, nowNanos) && other.admits(server, nowNanos);
            }

            @Override
            public long reopensNanos(BackendServerId server, long nowNanos) {
                return Math.max(first.reopensNanos(server, nowNanos), other.reopensNanos(server, nowNanos));
            }

            @Override
            public void sent(BackendServerId server, long nowNanos) {
                first.sent(server, nowNanos);
                other.sent(server, nowNanos);
            }
        };
    }
}
