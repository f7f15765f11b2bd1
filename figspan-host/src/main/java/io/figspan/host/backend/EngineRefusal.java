package io.figspan.host.backend;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/** An engine answered that it does not take a call. Nothing of the call was run. */
public final class EngineRefusal extends FigspanException {
    private static final long serialVersionUID = 1L;

    private final int status;

    public EngineRefusal(int status, String body) {
        super(ProblemKind.BACKEND_FAILED, "engine answered " + status + ": " + body, Location.of("engine"));
        this.status = status;
    }

    public int status() {
        return status;
    }
}
