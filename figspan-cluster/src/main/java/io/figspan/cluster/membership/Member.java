package io.figspan.cluster.membership;

import io.figspan.cluster.message.MemberUpdate;
import io.figspan.cluster.message.Peer;
import io.figspan.core.id.HostId;

/** State of one remote host as this process knows it: its newest known incarnation and whether it is live. */
final class Member {
    private final Peer peer;
    private int refutation;
    private State state = State.ALIVE;
    private Suspicion suspicion;
    private long goneAtNanos;

    enum State {
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    Member(Peer peer, int refutation) {
        this.peer = peer;
        this.refutation = refutation;
    }

    Peer peer() {
        return peer;
    }

    HostId host() {
        return peer.host();
    }

    int refutation() {
        return refutation;
    }

    State state() {
        return state;
    }

    boolean isLive() {
        return state == State.ALIVE || state == State.SUSPECT;
    }

    Suspicion suspicion() {
        return suspicion;
    }

    long goneAtNanos() {
        return goneAtNanos;
    }

    void markAlive(int newRefutation) {
        refutation = newRefutation;
        state = State.ALIVE;
        suspicion = null;
    }

    void markSuspect(int newRefutation, Suspicion started) {
        refutation = newRefutation;
        state = State.SUSPECT;
        suspicion = started;
    }

    void markGone(int newRefutation, boolean left, long nowNanos) {
        refutation = newRefutation;
        state = left ? State.LEFT : State.DEAD;
        suspicion = null;
        goneAtNanos = nowNanos;
    }

    /** The update that gossips this state. {@code self} is named as the suspecting host. */
    MemberUpdate toUpdate(HostId self) {
        return switch (state) {
            case ALIVE -> new MemberUpdate.Alive(peer, refutation);
            case SUSPECT -> new MemberUpdate.Suspect(peer.incarnation(), refutation, self);
            case DEAD -> new MemberUpdate.Gone(peer.incarnation(), refutation, false);
            case LEFT -> new MemberUpdate.Gone(peer.incarnation(), refutation, true);
        };
    }
}
