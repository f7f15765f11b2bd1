import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two machines start while the platform's store is down. Half of their clients leave 50 ms after they have sent
 * their request. The platform starts a process again that ends. Without trouble, the store is up.
 */
public final class Case14 {
    private static final int MACHINES = 2;
    private static final int RUNNERS = 3;
    private static final int SLOTS = 6;

    /** Clients of one machine; every other one leaves early. */
    private static final int CLIENTS = 16;

    /** A quarter of {@code max_body_bytes}. */
    private static final int BODY_BYTES = 1_048_576;

    private static final int LEAVE_MS = 50;
    private static final int DEADLINE_MS = 4_000;
    private static final int RESTART_MS = 500;

    /** The longest outage of the store in the days of the sites. */
    private static final int OUTAGE_MS = 8_000;

    /** Outages come more than once, with the store up between them. */
    private static final int MAX_OUTAGES = 4;

    private static final int PAUSE_MS = 4_000;

    /** The rule allows fewer ends of a process on two machines. */
    private static final int ENDS = 3;

    private Case14() {}

    /** One machine: its process, which is started again when it ends, and its clients. */
    private static final class Machine {
        private final int number;
        private final AtomicInteger ends = new AtomicInteger();
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger answered = new AtomicInteger();
        private volatile Node node;

        Machine(int number) {
            this.number = number;
        }

        void keepRunning(Path directory, int storePort, AtomicBoolean stopped, Record record) {
            try {
                while (!stopped.get()) {
                    Path ofStart = Files.createTempDirectory(directory, "start");
                    try (Node started = new Node(ofStart, number, storePort)) {
                        node = started;
                        while (started.isAlive() && !stopped.get()) {
                            Fleet.sleep(20);
                        }
                        if (!stopped.get()) {
                            ends.incrementAndGet();
                            record.add("machine " + number + ": its process ended by itself with status "
                                    + started.exitStatus() + ": " + lastLine(started));
                        }
                    }
                    Fleet.sleep(RESTART_MS);
                }
            } catch (IOException e) {
                record.add("machine " + number + ": " + e);
            }
        }

        private static String lastLine(Node ended) throws IOException {
            List<String> lines = ended.logLines();
            return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
        }

        void sendAgainAndAgain(boolean leavesEarly, AtomicBoolean stopped) {
            byte[] body = new byte[BODY_BYTES];
            while (!stopped.get()) {
                try {
                    sendOnce(leavesEarly, body);
                } catch (IOException e) {
                    pause();
                }
            }
        }

        private void sendOnce(boolean leavesEarly, byte[] body) throws IOException {
            Node current = node;
            if (current == null) {
                pause();
                return;
            }
            InetSocketAddress address = current.callers();
            try (Caller caller = new Caller(address)) {
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
        Path directory = Path.of(args[1]);
        Record record = new Record(args[2]);
        List<Machine> machines = new ArrayList<>();
        AtomicBoolean stopped = new AtomicBoolean();
        try (StoreStandin store = new StoreStandin()) {
            for (int number = 0; number < RUNNERS; number++) {
                Fleet.register(store, new RunnerStandin("desk-" + number), Fleet.DESK, SLOTS);
            }
            store.put("op/config", Fleet.config(1));
            store.setDown(hasTrouble);
            record.add("the machines start; the store is " + (hasTrouble ? "down" : "up"));
            List<Thread> platform = new ArrayList<>();
            for (int number = 1; number <= MACHINES; number++) {
                Machine machine = new Machine(number);
                machines.add(machine);
                Thread thread = Daemons.thread(() -> machine.keepRunning(directory, store.port(), stopped, record));
                thread.start();
                platform.add(thread);
                for (int client = 0; client < CLIENTS; client++) {
                    boolean leavesEarly = client % 2 == 0;
                    Daemons.start(() -> machine.sendAgainAndAgain(leavesEarly, stopped));
                }
            }
            int outages = hasTrouble ? MAX_OUTAGES : 1;
            for (int outage = 1; outage <= outages && !haveEnded(machines); outage++) {
                store.setDown(hasTrouble);
                Fleet.sleep(OUTAGE_MS);
                record.add("the store is up, after outage " + outage);
                store.setDown(false);
                Fleet.sleep(PAUSE_MS);
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

    private static boolean haveEnded(List<Machine> machines) {
        return machines.stream().allMatch(machine -> machine.ends.get() >= ENDS);
    }
}
