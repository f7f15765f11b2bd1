package io.figspan.bench.faults;

import io.figspan.control.ticket.OrderRules;
import io.figspan.core.error.RunState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** P4 and P5: two hosts, two servers of a service and a caller that retries orders at any host. */
final class OrderScenario implements Scenario {
    private static final int ORDERS = 5;
    private static final long FAULTS_UNTIL_MS = 12_000;
    private static final long DURATION_MS = 60_000;
    private static final long CALL_MS = 2_000;
    private static final int MAX_CALLS = 7;

    private final OrderScheme scheme;
    private final List<OrderHost> hosts = new ArrayList<>();
    private final Map<String, Integer> runsByOrder = new HashMap<>();
    private final Map<String, Integer> runsByTicket = new HashMap<>();
    private final Set<String> toldNotRun = new HashSet<>();
    private final Set<String> toldRan = new HashSet<>();
    private FaultyProcess caller;
    private OrderService service;

    OrderScenario(OrderScheme scheme) {
        this.scheme = scheme;
    }

    @Override
    public long durationMs() {
        return DURATION_MS;
    }

    @Override
    public void start(FaultRun faultRun) {
        caller = new FaultyProcess(faultRun, "caller", () -> {});
        OrderRules rules = new OrderRules(faultRun.chance(0.3), faultRun.chance(0.5));
        service = new OrderService(faultRun, rules, this::onRun);
        for (int i = 0; i < 2; i++) {
            OrderHost host = new OrderHost(faultRun, scheme, "h" + i, service);
            hosts.add(host);
            faultRun.scheduleFaults(host.process(), FAULTS_UNTIL_MS, 0.3, 0.5);
        }
        hosts.get(0).setPeer(hosts.get(1));
        hosts.get(1).setPeer(hosts.get(0));
        faultRun.scheduleCuts(hosts.get(0).process(), hosts.get(1).process(), FAULTS_UNTIL_MS, 0.4);
        for (FaultyProcess server : service.servers()) {
            faultRun.scheduleFaults(server, FAULTS_UNTIL_MS, 0.3, 0.3);
            hosts.forEach(host -> faultRun.scheduleCuts(host.process(), server, FAULTS_UNTIL_MS, 0.2));
        }
        for (int i = 0; i < ORDERS; i++) {
            CallerOrder order = new CallerOrder(faultRun, "order" + i);
            faultRun.after(faultRun.random().nextLong(8_000), order::takeTicket);
        }
        faultRun.after(FAULTS_UNTIL_MS + 10_000, faultRun::endFaults);
    }

    @Override
    public void check(FaultRun faultRun) {
        runsByOrder.forEach((order, runs) -> {
            if (runs > 1) {
                faultRun.violate(Count.RUN_TWICE, order);
            }
        });
        for (String ticket : toldNotRun) {
            if (runsByTicket.containsKey(ticket)) {
                faultRun.violate(Count.FALSE_NOT_RUN, ticket);
            }
        }
        for (String ticket : toldRan) {
            if (!runsByTicket.containsKey(ticket)) {
                faultRun.violate(Count.FALSE_RAN, ticket);
            }
        }
    }

    private void onRun(String ticket, String order) {
        runsByOrder.merge(order, 1, Integer::sum);
        runsByTicket.merge(ticket, 1, Integer::sum);
    }

    /** One order of the caller: it takes a new ticket only after it was told that the order was not run. */
    private final class CallerOrder {
        private final FaultRun faultRun;
        private final String order;
        private String ticket;
        private int calls;
        private int currentCall;
        private boolean done;

        CallerOrder(FaultRun faultRun, String order) {
            this.faultRun = faultRun;
            this.order = order;
        }

        void takeTicket() {
            int call = nextCall();
            if (call == 0) {
                return;
            }
            OrderHost host = anyHost();
            faultRun.send(
                    caller,
                    host.process(),
                    () -> host.issue(
                            order, issued -> faultRun.send(host.process(), caller, () -> onTicket(call, issued))));
            caller.after(CALL_MS / 2, () -> {
                if (call == currentCall) {
                    takeTicket();
                }
            });
        }

        private void onTicket(int call, String issued) {
            if (call == currentCall) {
                ticket = issued;
                execute();
            }
        }

        private void execute() {
            int call = nextCall();
            if (call == 0) {
                return;
            }
            String used = ticket;
            OrderHost host = anyHost();
            faultRun.send(
                    caller,
                    host.process(),
                    () -> host.execute(
                            used,
                            order,
                            CALL_MS,
                            run -> faultRun.send(host.process(), caller, () -> onTold(call, used, run))));
            caller.after(CALL_MS + 200, () -> {
                if (call == currentCall) {
                    execute();
                }
            });
        }

        private void onTold(int call, String used, RunState run) {
            faultRun.note(order + " ticket " + used + " told " + run);
            if (run == RunState.NOT_RUN) {
                toldNotRun.add(used);
            }
            if (run == RunState.RAN) {
                toldRan.add(used);
            }
            if (call != currentCall) {
                return;
            }
            if (run == RunState.RAN) {
                done = true;
                currentCall = 0;
            } else if (run == RunState.NOT_RUN) {
                takeTicket();
            } else {
                int next = nextCall();
                caller.after(300, () -> {
                    if (next != 0 && next == currentCall) {
                        execute();
                    }
                });
            }
        }

        private int nextCall() {
            calls++;
            currentCall = done || calls > MAX_CALLS ? 0 : calls;
            return currentCall;
        }

        private OrderHost anyHost() {
            return hosts.get(faultRun.random().nextInt(hosts.size()));
        }
    }
}
