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

    /** A request is placed at the server. */
    void sent(BackendServerId server, long nowNanos);
}
