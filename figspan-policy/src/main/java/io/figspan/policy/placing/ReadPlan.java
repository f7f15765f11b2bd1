package io.figspan.policy.placing;

import java.util.List;

/**
 * One way to serve a request: the engine that runs it and those that read parts of its prompt.
 *
 * @param doneMs when the last part is read, as forecast
 * @param loss worth that is expected to be lost: of the request itself and of others
 */
record ReadPlan(EngineSeat first, List<EngineSeat> readers, double doneMs, double loss) {
    ReadPlan {
        readers = List.copyOf(readers);
    }
}
