package umberrun.worker;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import saddlestall.Dispatcher.OutcomeCode;

/**
 * A command for a worker that is queued or awaits its reply. It completes exactly once, through
 * {@link #onReply} or {@link #onFailure}, unless it is one-way and has been written.
 */
abstract class PendingCommand {
  /** Identifies the command on its connection; the reply carries the same id. */
  final Buffer id;

  /** When the command times out, in microseconds on the clock of the dispatch loop. */
  final long deadline;

  /** Whether the command was handed to the socket. */
  boolean written;

  /** When the command was written, in microseconds; valid only if {@link #written}. */
  long writtenAt;

  /** Id of the Vert.x timer that ends the command at its deadline, or -1 if none is running. */
  long timeoutTimer = -1;

  PendingCommand(Buffer id, long deadline) {
    this.id = id;
    this.deadline = deadline;
  }

  /** Encodes the command as it is sent at {@code now}, in microseconds. */
  abstract Buffer command(long now);

  /** Whether the command starts work and so must not be written to a draining worker. */
  boolean isNewWork() {
    return false;
  }

  /** Whether the command is still worth writing; false once its caller has left. */
  boolean isWanted(long now) {
    return true;
  }

  /** Whether the worker sends no reply, so that the command is complete once written. */
  boolean isOneWay() {
    return false;
  }

  /** Whether no retry of the command will reuse this id after such a reply. */
  boolean isFinalReply(List<Buffer> parts) {
    return true;
  }

  /** Returns the command that cancels this one at the worker, or null if there is none. */
  Buffer cancelCommand() {
    return null;
  }

  /** Handles the reply: the id, followed by a status, fields and a body. */
  abstract void onReply(List<Buffer> parts);

  /** Handles the end of the command without a reply. */
  abstract void onFailure(OutcomeCode code);
}
