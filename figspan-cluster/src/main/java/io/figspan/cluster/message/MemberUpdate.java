package io.figspan.cluster.message;

import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;

/**
 * Membership update about one process. A higher refutation count overrides a lower one; at the same count
 * {@link Suspect} overrides {@link Alive}, and {@link Gone} overrides both. Any update about a newer incarnation of a
 * host overrides those about older ones.
 */
public sealed interface MemberUpdate {
    HostIncarnation incarnation();

    /** Number of suspicions and reports of its death that the process has refuted. */
    int refutation();

    /** The process is alive. Only this update carries an address, since the others concern known members. */
    record Alive(Peer peer, int refutation) implements MemberUpdate {
        @Override
        public HostIncarnation incarnation() {
            return peer.incarnation();
        }
    }

    /** The process is suspected by {@code by}. Suspicions by different hosts shorten the suspicion timeout. */
    record Suspect(HostIncarnation incarnation, int refutation, HostId by) implements MemberUpdate {}

    /** The process is dead, or has left gracefully if {@code left}. */
    record Gone(HostIncarnation incarnation, int refutation, boolean left) implements MemberUpdate {}
}
