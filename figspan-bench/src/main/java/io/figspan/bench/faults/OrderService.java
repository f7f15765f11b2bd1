package io.figspan.bench.faults;

import io.figspan.control.ticket.AnswerBody;
import io.figspan.control.ticket.OrderRules;
import io.figspan.control.ticket.ServiceAnswer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** A fake service on two servers that share the record of idempotency keys, when the service honours them. */
final class OrderService {
    private static final ServiceAnswer DONE = ServiceAnswer.of(200, "text/plain", AnswerBody.EMPTY);
    private static final ServiceAnswer CLAIM =
            ServiceAnswer.of(503, "text/plain", AnswerBody.EMPTY).withClaimsNotRun(true);

    private final FaultRun faultRun;
    private final OrderRules rules;
    private final BiConsumer<String, String> onRun;
    private final List<FaultyProcess> servers;
    private final Set<String> keys = new HashSet<>();

    OrderService(FaultRun faultRun, OrderRules rules, BiConsumer<String, String> onRun) {
        this.faultRun = faultRun;
        this.rules = rules;
        this.onRun = onRun;
        this.servers =
                List.of(new FaultyProcess(faultRun, "s0", () -> {}), new FaultyProcess(faultRun, "s1", () -> {}));
    }

    OrderRules rules() {
        return rules;
    }

    List<FaultyProcess> servers() {
        return servers;
    }

    /** Receives a written order. A service whose proof is not trusted may claim that it ran nothing when it did. */
    void receive(String ticket, String order, Consumer<ServiceAnswer> answer) {
        if (faultRun.chance(0.1)) {
            answer.accept(CLAIM);
            return;
        }
        boolean repeated = rules.honoursIdempotencyKey() && !keys.add(ticket);
        if (!repeated) {
            faultRun.note("run " + order + " ticket " + ticket);
            onRun.accept(ticket, order);
        }
        boolean lies = !rules.notRunProofTrusted() && faultRun.chance(0.1);
        answer.accept(lies ? CLAIM : DONE);
    }
}
