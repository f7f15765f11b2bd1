package io.figspan.review;

import java.util.concurrent.Callable;

/** The end of a case's program. */
final class Cases {
    private Cases() {}

    /** Runs a case. Returns 2 if it couldn't run to its end. */
    static int status(Recorder recorder, Callable<Integer> run) {
        try {
            return run.call();
        } catch (Exception e) {
            recorder.say("the case couldn't run: %s", e);
            return 2;
        }
    }
}
