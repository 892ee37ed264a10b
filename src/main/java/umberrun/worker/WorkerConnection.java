package umberrun.worker;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import saddlestall.Dispatcher.OutcomeCode;
import umberrun.admission.MemoryBudget;
import umberrun.core.Clock;
import umberrun.stats.Counters.Count;
import umberrun.transport.ConnectionInput;

/**
 * One connection to a worker, with the commands that await a reply on it and those that are queued
 * until they can be written.
 */
final class WorkerConnection {
  /** The owner of a connection. */
  interface Listener {
    /**
     * Whether new work may still be written at {@code now}, in microseconds. False once the worker
     * must get nothing new because of a drain or suspension, its lease has ended, or it has left
     * the list.
     */
    boolean mayStart(long now);

    /** New work was failed without being written, as {@link #mayStart} returned false. */
    void onSendWithheld();

    /**
     * The connection has closed and all its commands have ended.
     *
     * @param reason the counter of the reason
     */
    void onClosed(WorkerConnection connection, Count reason);
  }

  /**
   * While more bytes wait to be sent, no further command is written. With one command beyond it,
   * this bounds the direct memory that a worker which does not read can take.
   */
  private static final int MAX_WRITE_QUEUE_BYTES = 16 << 10;

  private static final int MAX_STALE_IDS = 256;

  /**
   * A worker writes each reply in one piece, so a reply that is still incomplete after this time
   * will not be completed.
   */
  private static final long PARTIAL_REPLY_TIMEOUT_MILLIS = 250;

  /** Silence is checked only while at least this many commands await a reply. */
  private static final int SILENCE_CHECK_MIN_COMMANDS = 3;

  /**
   * A worker that sends nothing for this long is pinged, and has the same time again before its
   * connection is closed.
   */
  private static final long SILENCE_TIMEOUT_MILLIS = 300;

  private static final Buffer PING =
      RespParser.command(Buffer.buffer("NOOP"), Buffer.buffer("here"));

  private final Vertx vertx;
  private final Clock clock;
  private final Listener listener;
  private final long idleMillis;
  private final MemoryBudget replyBudget;
  private final Map<Buffer, PendingCommand> awaitingReply = new HashMap<>();
  private final ArrayDeque<PendingCommand> queued = new ArrayDeque<>();

  /**
   * Ids for which a late or second reply may still arrive. A retry with one of these ids has to use
   * another connection, since a reply could belong to either attempt.
   */
  private final Set<Buffer> staleIds = new HashSet<>();

  private NetSocket socket;
  private ConnectionInput input;

  /** When the last reply arrived or the connection opened, in microseconds. */
  private long lastReplyAt;

  private RespParser parser;

  /** What is charged for the received part of a reply, in bytes. */
  private long chargedBytes;

  /** Ids of Vert.x timers, or -1 for one that is not running. */
  private long idleTimer = -1;

  private long partialReplyTimer = -1;
  private long silenceTimer = -1;

  /** Whether the connection accepts no more commands. */
  private boolean retired;

  private boolean closed;

  /**
   * @param idleMillis how long the connection stays open without commands, in milliseconds; 0 for
   *     no limit
   * @param replyBudget limits what was received of replies whose rest is missing
   */
  WorkerConnection(
      Vertx vertx, Clock clock, Listener listener, long idleMillis, MemoryBudget replyBudget) {
    this.replyBudget = replyBudget;
    this.vertx = vertx;
    this.clock = clock;
    this.listener = listener;
    this.idleMillis = idleMillis;
  }

  /** Starts to use the socket once it is connected, and writes the queued commands. */
  void onConnected(NetSocket connected) {
    if (closed) {
      connected.close();
      return;
    }
    socket = connected;
    input = ConnectionInput.of(connected);
    lastReplyAt = clock.now();
    connected.setWriteQueueMaxSize(MAX_WRITE_QUEUE_BYTES);
    parser = new RespParser(this::onReply, () -> close(Count.WORKERS_CLOSED_MALFORMED));
    connected.handler(this::onData);
    connected.closeHandler(v -> close(Count.WORKERS_CLOSED_BY_PEER));
    connected.exceptionHandler(e -> close(Count.WORKERS_CLOSED_ERROR));
    connected.drainHandler(v -> flush());
    flush();
    restartIdleTimer();
  }

  /**
   * Parses received bytes. Closes the connection if a reply stays incomplete for too long: a reply
   * that stops midway, or whose length is too large and covers the next replies, would otherwise
   * block all commands on the connection.
   */
  private void onData(Buffer chunk) {
    long arraysBefore = parser.arraysRead();
    parser.handle(chunk);
    if (!chargePart()) {
      close(Count.WORKERS_CLOSED_NO_ROOM);
      return;
    }
    if (parser.arraysRead() > arraysBefore) {
      cancelPartialReplyTimer();
    }
    cancelSilenceTimer();
    startSilenceTimer(false);
    startPartialReplyTimer();
  }

  /** Charges the memory for the received part of a reply; false if there is no room for it. */
  private boolean chargePart() {
    long bytes = closed ? 0 : parser.heldBytes();
    replyBudget.charge(bytes - chargedBytes);
    chargedBytes = bytes;
    return bytes == 0 || replyBudget.hasRoomFor(0);
  }

  private void startPartialReplyTimer() {
    if (parser.hasPartialArray() && partialReplyTimer < 0 && !closed) {
      partialReplyTimer =
          vertx.setTimer(
              PARTIAL_REPLY_TIMEOUT_MILLIS,
              t -> {
                partialReplyTimer = -1;
                // What has arrived may wait here to be read.
                if (input.isDrained()) {
                  close(Count.WORKERS_CLOSED_INCOMPLETE_REPLY);
                } else {
                  startPartialReplyTimer();
                }
              });
    }
  }

  private void cancelPartialReplyTimer() {
    if (partialReplyTimer >= 0) {
      vertx.cancelTimer(partialReplyTimer);
      partialReplyTimer = -1;
    }
  }

  /**
   * Detects a connection that stays open but no longer carries data, while the worker itself may be
   * healthy. Without this check, all commands on the connection would wait for their deadlines.
   *
   * @param pinged whether the worker has been pinged since its last data; if so, the connection is
   *     closed when the timer fires
   */
  private void startSilenceTimer(boolean pinged) {
    if (silenceTimer < 0 && !closed && awaitingReply.size() >= SILENCE_CHECK_MIN_COMMANDS) {
      silenceTimer =
          vertx.setTimer(
              SILENCE_TIMEOUT_MILLIS,
              t -> {
                silenceTimer = -1;
                if (!input.isDrained()) {
                  startSilenceTimer(pinged);
                } else if (pinged) {
                  close(Count.WORKERS_CLOSED_SILENT);
                } else if (awaitingReply.size() >= SILENCE_CHECK_MIN_COMMANDS) {
                  socket.write(PING);
                  startSilenceTimer(true);
                }
              });
    }
  }

  private void cancelSilenceTimer() {
    if (silenceTimer >= 0) {
      vertx.cancelTimer(silenceTimer);
      silenceTimer = -1;
    }
  }

  /** Ends the queued commands after the connection could not be opened; none of them has run. */
  void onConnectFailed() {
    closeWith(OutcomeCode.CONNECT_FAILED, Count.WORKERS_CLOSED_CONNECT_FAILED);
  }

  /** Returns the number of commands that are queued or await a reply. */
  int load() {
    return awaitingReply.size() + queued.size();
  }

  /** Whether the connection is open and has no commands. */
  boolean isIdle() {
    return socket != null && !closed && load() == 0;
  }

  /** Returns when the last reply arrived or, before the first one, the connection opened. */
  long lastReplyAt() {
    return lastReplyAt;
  }

  /** Whether the command can be submitted here, with at most {@code maxCommands} at a time. */
  boolean accepts(PendingCommand command, int maxCommands) {
    return !closed
        && !retired
        && load() < maxCommands
        && !awaitingReply.containsKey(command.id)
        && !staleIds.contains(command.id)
        && queued.stream().noneMatch(other -> other.id.equals(command.id));
  }

  /** Queues a command and writes it as soon as the socket takes it. */
  void submit(PendingCommand command) {
    long now = clock.now();
    cancelIdleTimer();
    command.timeoutTimer =
        vertx.setTimer(
            Math.max(1, (command.deadline - now + 999) / 1_000), t -> onTimeout(command));
    queued.add(command);
    flush();
    // A one-way command may already be complete, which leaves the connection idle.
    restartIdleTimer();
  }

  /**
   * Ends a command before its deadline.
   *
   * @param code the outcome if the command was already written
   * @return whether the connection had a command with this id
   */
  boolean cancel(Buffer id, OutcomeCode code) {
    PendingCommand command = awaitingReply.get(id);
    if (command == null) {
      command = queued.stream().filter(other -> other.id.equals(id)).findFirst().orElse(null);
    }
    if (command != null) {
      abandon(command, code);
    }
    return command != null;
  }

  /**
   * Accepts no more commands, fails those that were not written and closes once all replies have
   * arrived. Commands that still wait for the connection to open must not be sent: the address may
   * belong to another worker by then, or the worker may be draining.
   */
  void retire() {
    retired = true;
    List<PendingCommand> unsent = new ArrayList<>(queued);
    queued.clear();
    unsent.forEach(command -> fail(command, OutcomeCode.NOT_STARTED));
    closeIfIdle(Count.WORKERS_CLOSED_RETIRED);
  }

  /** Closes the connection if it has no commands. */
  void closeIfIdle(Count reason) {
    if (load() == 0) {
      close(reason);
    }
  }

  /** Whether bytes written to the connection are still buffered in this process. */
  boolean hasUnsentBytes() {
    ChannelOutboundBuffer unsent =
        socket == null ? null : channelContext().channel().unsafe().outboundBuffer();
    return unsent != null && unsent.totalPendingWriteBytes() > 0;
  }

  /**
   * Closes the connection; commands that were written end as reset.
   *
   * @param reason the counter of the reason
   */
  void close(Count reason) {
    closeWith(OutcomeCode.RESET, reason);
  }

  private ChannelHandlerContext channelContext() {
    return ((NetSocketInternal) socket).channelHandlerContext();
  }

  private void flush() {
    while (socket != null && !closed && !queued.isEmpty() && !socket.writeQueueFull()) {
      PendingCommand command = queued.poll();
      long now = clock.now();
      // The worker may have begun to drain, or the caller may have left, since the command was
      // queued.
      boolean withheld = command.isNewWork() && !listener.mayStart(now);
      if (withheld) {
        listener.onSendWithheld();
      }
      if (withheld || !command.isWanted(now)) {
        fail(command, OutcomeCode.NOT_STARTED);
        continue;
      }
      socket.write(command.command(now));
      if (command.isOneWay()) {
        cancelTimeout(command);
        continue;
      }
      command.written = true;
      command.writtenAt = now;
      awaitingReply.put(command.id, command);
    }
    startSilenceTimer(false);
  }

  /**
   * Ends a command at its deadline. If nothing has arrived since the command was written, the
   * connection is retired: the connections to a machine that is cut off from the network stay open
   * without carrying data.
   */
  private void onTimeout(PendingCommand command) {
    command.timeoutTimer = -1;
    boolean silent = command.written && lastReplyAt < command.writtenAt && input.isDrained();
    abandon(command, OutcomeCode.TIMEOUT);
    if (silent) {
      retire();
    }
  }

  private void abandon(PendingCommand command, OutcomeCode code) {
    boolean written = awaitingReply.remove(command.id) != null;
    queued.remove(command);
    cancelTimeout(command);
    if (written && !closed) {
      markStale(command.id);
      if (command.cancelCommand() != null) {
        socket.write(command.cancelCommand());
      }
    }
    command.onFailure(written ? code : OutcomeCode.NOT_STARTED);
    restartIdleTimer();
  }

  /**
   * Keeps an id from being reused here. Too many such ids retire the connection, which bounds the
   * memory for a worker that never replies or only with errors.
   */
  private void markStale(Buffer id) {
    staleIds.add(id);
    retired |= staleIds.size() > MAX_STALE_IDS;
  }

  private void onReply(List<Buffer> parts) {
    lastReplyAt = clock.now();
    PendingCommand command = awaitingReply.remove(parts.get(0));
    if (command == null) {
      // The late reply to an abandoned command: its id can be used again.
      staleIds.remove(parts.get(0));
      return;
    }
    cancelTimeout(command);
    if (!command.isFinalReply(parts)) {
      markStale(command.id);
    }
    command.onReply(parts);
    restartIdleTimer();
    if (retired) {
      closeIfIdle(Count.WORKERS_CLOSED_RETIRED);
    }
  }

  /**
   * @param code the outcome of the commands that were written; the others end as {@code
   *     CONNECT_FAILED}, since they never ran
   * @param reason the counter of the reason
   */
  private void closeWith(OutcomeCode code, Count reason) {
    if (closed) {
      return;
    }
    closed = true;
    cancelIdleTimer();
    cancelPartialReplyTimer();
    cancelSilenceTimer();
    if (socket != null) {
      chargePart();
      // Closes the Netty channel directly, since NetSocket.close() waits until all bytes are
      // written. A worker that resumes reading must not receive commands after it began to drain
      // or after their callers left, and a worker that does not read must not hold a descriptor.
      channelContext().close();
    }
    List<PendingCommand> sent = new ArrayList<>(awaitingReply.values());
    List<PendingCommand> unsent = new ArrayList<>(queued);
    awaitingReply.clear();
    queued.clear();
    sent.forEach(command -> fail(command, code));
    unsent.forEach(command -> fail(command, OutcomeCode.CONNECT_FAILED));
    listener.onClosed(this, reason);
  }

  private void fail(PendingCommand command, OutcomeCode code) {
    cancelTimeout(command);
    command.onFailure(code);
  }

  private void cancelTimeout(PendingCommand command) {
    if (command.timeoutTimer >= 0) {
      vertx.cancelTimer(command.timeoutTimer);
      command.timeoutTimer = -1;
    }
  }

  /**
   * Schedules the close of an idle connection, earlier than the worker's own idle timeout: a
   * command that is sent while the worker closes would count as one that may have run.
   */
  private void restartIdleTimer() {
    if (load() == 0 && !closed && socket != null && idleMillis > 0) {
      cancelIdleTimer();
      idleTimer = vertx.setTimer(idleMillis, t -> close(Count.WORKERS_CLOSED_IDLE));
    }
  }

  private void cancelIdleTimer() {
    if (idleTimer >= 0) {
      vertx.cancelTimer(idleTimer);
      idleTimer = -1;
    }
  }
}
