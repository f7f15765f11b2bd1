package io.figspan.cluster.message;

/** What may crash backend servers, with the bounds and thresholds that apply to it. */
public enum SuspectKind {
    /** A part that several prompts share. */
    PROMPT_PART(4_096, 4, true),
    /** A single request, by its fingerprint. */
    REQUEST(1_024, 5, false);

    private final int maxTracked;
    private final int minCrashesWhenTied;
    private final boolean hasTrials;

    SuspectKind(int maxTracked, int minCrashesWhenTied, boolean hasTrials) {
        this.maxTracked = maxTracked;
        this.minCrashesWhenTied = minCrashesWhenTied;
        this.hasTrials = hasTrials;
    }

    /** Maximum number of suspects of this kind that a host tracks. */
    public int maxTracked() {
        return maxTracked;
    }

    /** Crashes for which a suspect is quarantined although another one of this kind has as many. */
    public int minCrashesWhenTied() {
        return minCrashesWhenTied;
    }

    /** Whether a request is sent now and then to find out if the suspect still crashes servers. */
    public boolean hasTrials() {
        return hasTrials;
    }
}
