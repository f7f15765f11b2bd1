import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two machines are killed while the platform's store is down, and start again. For some seconds half of their clients leave
 * 50 ms after they have sent their request. The platform starts a process again that ends. Without trouble, the store is
 * up, and all else is the same.
 */
public final class Case14 {
    private static final int MACHINES = 2;
    private static final int RUNNERS = 3;
    private static final int SLOTS = 6;

    /** Clients of one machine; every other one may leave early. */
    private static final int CLIENTS = 16;

    /** A quarter of {@code max_body_bytes}. */
    private static final int BODY_BYTES = 1_048_576;

    private static final int LEAVE_MS = 50;
    private static final int DEADLINE_MS = 4_000;
    private static final int RESTART_MS = 500;

    /** The longest outage of the store, and the longest time for which clients leave, in the days of the site. */
    private static final int OUTAGE_MS = 8_000;

    private static final int LEAVING_MS = 5_000;

    /** Outages come more than once, with the store up between them. */
    private static final int MAX_OUTAGES = 4;

    private static final int PAUSE_MS = 4_000;

    /** An end within this time after a start that follows a kill doesn't count. */
    private static final long UNCOUNTED_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The rule allows fewer ends of a process on two machines. */
    private static final int ENDS = 3;

    private Case14() {}

    /** One machine: its process, which is started again when it ends, and its clients. */
    private static final class Machine {
        private final int number;
        private final Record record;
        private final AtomicInteger ends = new AtomicInteger();
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger answered = new AtomicInteger();
        private final AtomicBoolean isKilled = new AtomicBoolean();
        private volatile Node node;
        private volatile boolean areClientsLeaving;
        private long undisturbedSinceNanos = System.nanoTime();

        Machine(int number, Record record) {
            this.number = number;
            this.record = record;
        }

        void keepRunning(Path directory, int storePort, AtomicBoolean stopped) {
            try {
                while (!stopped.get()) {
                    Path ofStart = Files.createTempDirectory(directory, "start");
                    try (Node started = new Node(ofStart, number, storePort)) {
                        node = started;
                        while (started.isAlive() && !stopped.get()) {
                            Fleet.sleep(20);
                        }
                        if (!stopped.get()) {
                            ended(started);
                        }
                    }
                    Fleet.sleep(RESTART_MS);
                }
            } catch (IOException e) {
                record.add("machine " + number + ": " + e);
            }
        }

        private void ended(Node ended) throws IOException {
            if (isKilled.getAndSet(false)) {
                undisturbedSinceNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RESTART_MS);
                record.add("machine " + number + ": its process was killed");
                return;
            }
            boolean isCounted = System.nanoTime() - undisturbedSinceNanos >= UNCOUNTED_NANOS;
            ends.addAndGet(isCounted ? 1 : 0);
            List<String> lines = ended.logLines();
            record.add("machine " + number + ": its process ended by itself with status " + ended.exitStatus() + ": "
                    + (lines.isEmpty() ? "" : lines.get(lines.size() - 1)) + (isCounted ? "" : "  (not counted)"));
        }

        void kill() {
            isKilled.set(true);
            node.kill();
        }

        void sendAgainAndAgain(boolean mayLeave, AtomicBoolean stopped) {
            byte[] body = new byte[BODY_BYTES];
            while (!stopped.get()) {
                try {
                    sendOnce(mayLeave && areClientsLeaving, body);
                } catch (IOException e) {
                    pause();
                }
            }
        }

        private void sendOnce(boolean leavesEarly, byte[] body) throws IOException {
            try (Caller caller = new Caller(node.callers())) {
                caller.send(Fleet.head("POST", Fleet.UNSAFE_PATH + "x", "c-" + sent.get(), DEADLINE_MS)
                        + "Content-Length: " + BODY_BYTES + "\r\n\r\n");
                caller.send(body);
                sent.incrementAndGet();
                int status = caller.awaitStatus(leavesEarly ? LEAVE_MS : DEADLINE_MS);
                if (status > 0) {
                    answered.incrementAndGet();
                }
            }
        }

        private static void pause() {
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Arguments: whether there is trouble (0 or 1), a directory for temporary files, and the record. */
    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !args[0].equals("0");
        Record record = new Record(args[2]);
        List<Machine> machines = new ArrayList<>();
        AtomicBoolean stopped = new AtomicBoolean();
        try (StoreStandin store = new StoreStandin()) {
            for (int number = 0; number < RUNNERS; number++) {
                Fleet.register(store, new RunnerStandin("desk-" + number), Fleet.DESK, SLOTS);
            }
            store.put("op/config", Fleet.config(1));
            List<Thread> platform = new ArrayList<>();
            for (int number = 1; number <= MACHINES; number++) {
                Machine machine = new Machine(number, record);
                machines.add(machine);
                platform.add(Daemons.thread(() -> machine.keepRunning(Path.of(args[1]), store.port(), stopped)));
            }
            platform.forEach(Thread::start);
            startClients(machines, stopped);
            record.add("both processes are ready; trouble: " + hasTrouble);
            int outages = hasTrouble ? MAX_OUTAGES : 1;
            for (int outage = 1; outage <= outages && !haveEnded(machines); outage++) {
                play(outage, machines, store, hasTrouble, record);
            }
            stopped.set(true);
            for (Thread thread : platform) {
                thread.join(TimeUnit.SECONDS.toMillis(20));
            }
        }
        for (Machine machine : machines) {
            record.add("machine " + machine.number + ": " + machine.sent + " requests sent, " + machine.answered
                    + " answered, its process ended " + machine.ends + " times by itself");
        }
        boolean isBroken = haveEnded(machines);
        record.add(isBroken ? "Fault: the day counts 0" : "no fault by the rule");
        System.exit(isBroken ? Record.BROKEN : 0);
    }

    private static void startClients(List<Machine> machines, AtomicBoolean stopped) throws Exception {
        for (Machine machine : machines) {
            while (machine.node == null) {
                Fleet.sleep(20);
            }
            machine.node.awaitReady();
            for (int client = 0; client < CLIENTS; client++) {
                boolean mayLeave = client % 2 == 0;
                Daemons.start(() -> machine.sendAgainAndAgain(mayLeave, stopped));
            }
        }
        Fleet.sleep(1_000);
    }

    private static void play(
            int outage, List<Machine> machines, StoreStandin store, boolean hasTrouble, Record record)
            throws IOException {
        store.setDown(hasTrouble);
        record.add("outage " + outage + ": the store is " + (hasTrouble ? "down" : "up"));
        machines.forEach(Machine::kill);
        machines.forEach(machine -> machine.areClientsLeaving = true);
        Fleet.sleep(LEAVING_MS);
        machines.forEach(machine -> machine.areClientsLeaving = false);
        record.add("no client leaves early any more");
        Fleet.sleep(OUTAGE_MS - LEAVING_MS);
        store.setDown(false);
        record.add("the store is up, after outage " + outage);
        Fleet.sleep(PAUSE_MS);
    }

    private static boolean haveEnded(List<Machine> machines) {
        return machines.stream().allMatch(machine -> machine.ends.get() >= ENDS);
    }
}
