package io.figspan.control.request;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.StreamId;

/**
 * One part of an answer as it arrives from an engine.
 *
 * @param offset position in the stream, counted in events from 0
 * @param last the answer is complete with this part
 */
public record StreamEvent(BackendIncarnation engine, StreamId stream, long offset, String text, boolean last) {}
