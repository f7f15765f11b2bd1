package io.figspan.gateway.http;

/** Memory that several users share: a part that one has taken is missing for the others until it is given back. */
public final class ByteBudget {
    private final long limitBytes;
    private long takenBytes;

    public ByteBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Takes memory; false, and nothing is taken, when not so much is left. */
    public boolean tryTake(long bytes) {
        if (bytes > limitBytes - takenBytes) {
            return false;
        }
        takenBytes += bytes;
        return true;
    }

    /** Gives back what was taken before. */
    public void giveBack(long bytes) {
        takenBytes -= bytes;
    }

    public long usedBytes() {
        return takenBytes;
    }
}
