package io.figspan.bench.micro;

import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.RequestFingerprint;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** The fingerprint of a request, once for each, with the compiler tier of the hosts' processes. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(jvmArgsAppend = "-XX:TieredStopAtLevel=1")
public class FingerprintBenchmark {
    private final Optional<OrganisationId> organisation = Optional.of(OrganisationId.of("organisation"));

    @Param({"1024", "1048576"})
    private int bodyBytes;

    private byte[] body;

    @Setup
    public void createBody() {
        body = new byte[bodyBytes];
    }

    @Benchmark
    public RequestFingerprint fingerprint() {
        return RequestFingerprint.of(organisation, "POST", "/stream/1", ByteBuffer.wrap(body));
    }
}
