package io.figspan.bench.faults;

import io.figspan.control.request.StreamEvent;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.RequestId;
import io.figspan.core.id.StreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** A fake engine: it keeps each stream and sends its parts to the host that reads it. */
final class PromptEngine {
    private static final long PART_MS = 60;

    private final FaultRun faultRun;
    private final FaultyProcess process;
    private final Map<StreamId, Stream> streams = new HashMap<>();
    private final Map<RequestId, StreamId> newestByRequest = new HashMap<>();

    PromptEngine(FaultRun faultRun, String name) {
        this.faultRun = faultRun;
        this.process = new FaultyProcess(faultRun, name, this::reset);
    }

    /** Who reads a stream: the receiving process and what it does with a part. */
    record Reader(FaultyProcess host, Consumer<StreamEvent> sink) {}

    FaultyProcess process() {
        return process;
    }

    BackendIncarnation incarnation() {
        return new BackendIncarnation(BackendServerId.of(process.name()), process.number());
    }

    private void reset() {
        streams.clear();
        newestByRequest.clear();
    }

    /** Starts a stream whose parts are {@code prompt:first}, {@code prompt:first+1} and so on up to {@code total}. */
    void start(StreamId id, RequestId request, String prompt, int first, int total, Reader reader) {
        if (streams.containsKey(id)) {
            return;
        }
        Stream stream = new Stream(id, reader);
        streams.put(id, stream);
        newestByRequest.put(request, id);
        for (int i = first; i < total; i++) {
            int part = i;
            process.after((i - first + 1) * PART_MS, () -> {
                stream.parts.add(prompt + ":" + part);
                stream.ended = part == total - 1;
                send(stream, stream.parts.size() - 1);
            });
        }
    }

    /** Sends the parts from an offset again, to a new reader. Returns false when the stream is not here. */
    boolean read(StreamId id, long offset, Reader reader) {
        Stream stream = streams.get(id);
        if (stream == null) {
            return false;
        }
        stream.reader = reader;
        for (int i = (int) offset; i < stream.parts.size(); i++) {
            send(stream, i);
        }
        return true;
    }

    Optional<StreamId> newestStream(RequestId request) {
        return Optional.ofNullable(newestByRequest.get(request));
    }

    private void send(Stream stream, int offset) {
        boolean last = stream.ended && offset == stream.parts.size() - 1;
        StreamEvent part = new StreamEvent(incarnation(), stream.id, offset, stream.parts.get(offset), last);
        Reader reader = stream.reader;
        faultRun.send(process, reader.host(), () -> reader.sink().accept(part));
    }

    private static final class Stream {
        private final StreamId id;
        private final List<String> parts = new ArrayList<>();
        private Reader reader;
        private boolean ended;

        Stream(StreamId id, Reader reader) {
            this.id = id;
            this.reader = reader;
        }
    }
}
