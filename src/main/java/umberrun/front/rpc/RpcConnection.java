package umberrun.front.rpc;

import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.HashMap;
import java.util.Map;
import umberrun.core.Call;
import umberrun.core.Reply;
import umberrun.core.Request;
import umberrun.front.CallFields.InvalidField;
import umberrun.stats.Counters.Count;
import umberrun.transport.ConnectionInput;

/** A client's connection with its open requests, which may be answered in any order. */
final class RpcConnection {
  private static final int MAX_OPEN_REQUESTS = 32;

  private static final long OVERLOAD_BACKOFF_MILLIS = 100;
  private static final long SHUTDOWN_BACKOFF_MILLIS = 50;

  /**
   * A message must be complete within this time of its first byte, and the first message within
   * this time of connecting.
   */
  private static final long MESSAGE_TIMEOUT_MILLIS = 2_000;

  /** A connection without an open request is closed after this; clients close theirs after 4 s. */
  private static final long IDLE_TIMEOUT_MILLIS = 5_000;

  /**
   * A request that is held for this long is refused: its client sends more than its share of the
   * event loop lets this process read.
   */
  private static final long HELD_TIMEOUT_MILLIS = 200;

  /** After its output is shut down, a connection is closed by the client, or here after this. */
  private static final long LINGER_MILLIS = 1_000;

  /** During a drain, a new connection is kept open this long for a first message under way. */
  private static final long FIRST_MESSAGE_MICROS = 1_000_000;

  private final RpcServer server;
  private final NetSocket socket;
  private final ConnectionInput input;
  private final RpcOutput output;
  private final HeldRequests heldRequests;

  /** Memory charged for the received part of a message, in bytes. */
  private int chargedPartBytes;

  /** The timer that refuses requests that were held for too long, or -1. */
  private long heldTimer = -1;

  private final RpcDecoder decoder = new RpcDecoder(this::handleMessage);
  private final Map<Long, Call> openCalls = new HashMap<>();
  private final long openedAt;

  /** When the last call arrived, in Unix microseconds; 0 if there was none. */
  private long lastCallAt;

  /** Whether a complete message has been received. */
  private boolean hasSentMessage;

  /**
   * Set when a message was not completed in time: nothing more is read, open calls are answered.
   */
  private boolean readingStopped;

  /** Whether this side's output is being shut down or has been. */
  private boolean outputShutDown;

  private boolean closed;

  /**
   * The timeout for the rest of a message, or for the next message while no request is open; -1 if
   * none is running.
   */
  private long timer = -1;

  /** Whether the timer waits for the rest of a message. */
  private boolean awaitsRest;

  RpcConnection(RpcServer server, NetSocket socket) {
    this.server = server;
    this.socket = socket;
    this.input = ConnectionInput.of(socket);
    this.output = new RpcOutput(server, socket, input);
    this.heldRequests = new HeldRequests(server.inputBudget());
    this.openedAt = server.now();
    socket.handler(this::read);
    socket.closeHandler(v -> close(Count.CLIENTS_CLOSED_BY_PEER));
    socket.exceptionHandler(e -> close(Count.CLIENTS_CLOSED_ERROR));
    await(MESSAGE_TIMEOUT_MILLIS, () -> close(Count.CLIENTS_CLOSED_SILENT));
  }

  /**
   * Whether the connection counts as idle, so that closing it loses no call: no request is open or
   * partly received, and the write queue is not full. Fewer bytes may still wait to be sent.
   */
  boolean isIdle() {
    return openRequests() == 0 && !decoder.isMidMessage() && !output.isFull();
  }

  /** The number of requests that are held or submitted, and not answered. */
  private int openRequests() {
    return openCalls.size() + heldRequests.size();
  }

  /**
   * Restarts the timeout that applies to the current state. Clients that send nothing, send half a
   * message or never close would otherwise use up the file descriptors.
   */
  private void restartTimeout() {
    if (closed || outputShutDown || readingStopped || decoder.isMidMessage() && awaitsRest) {
      return;
    }
    server.updateIdle(this);
    cancelTimeout();
    awaitsRest = decoder.isMidMessage();
    if (awaitsRest) {
      await(MESSAGE_TIMEOUT_MILLIS, this::onRestMissing);
    } else if (openRequests() == 0) {
      await(IDLE_TIMEOUT_MILLIS, () -> close(Count.CLIENTS_CLOSED_IDLE));
    }
  }

  private void await(long millis, Runnable action) {
    timer =
        server
            .vertx()
            .setTimer(
                millis,
                expired -> {
                  timer = -1;
                  action.run();
                });
  }

  /** Called when the rest of a message was not read in time. */
  private void onRestMissing() {
    boolean hasArrived = !input.isDrained() && !output.isFull();
    if (hasArrived) {
      awaitsRest = false;
      restartTimeout();
    } else {
      stopReading(Count.CLIENTS_CLOSED_INCOMPLETE);
    }
  }

  /**
   * Stops reading in the middle of a message. The calls received before it are answered before the
   * connection is closed.
   *
   * @param reason the counter of the reason
   */
  void stopReading(Count reason) {
    readingStopped = true;
    decoder.releaseBuffer();
    chargePart();
    cancelTimeout();
    server.counters().add(reason);
    if (input.isDrained()) {
      submitHeld();
    }
    shutDownIfAnswered();
    server.checkQuiet();
  }

  private void shutDownIfAnswered() {
    if (readingStopped && openRequests() == 0) {
      shutDownOutput();
    }
  }

  private void cancelTimeout() {
    if (timer >= 0) {
      server.vertx().cancelTimer(timer);
      timer = -1;
    }
  }

  private void read(Buffer chunk) {
    // A client sends again what arrives while its connection is being closed.
    if (closed || outputShutDown || readingStopped) {
      return;
    }
    try {
      decoder.feed(chunk);
    } catch (RpcDecoder.Unreadable e) {
      // Malformed input ends this connection only.
      server.counters().add(Count.BAD_REQUESTS);
      close(Count.CLIENTS_CLOSED_MALFORMED);
      return;
    }
    // What is held of a client that has gone is dropped when the connection is closed, which is
    // next.
    if (input.isDrained() && !input.hasEnded()) {
      submitHeld();
    }
    output.flush();
    chargePart();
    // Before the first complete message, the timeout since connecting keeps running.
    if (hasSentMessage) {
      restartTimeout();
    }
    server.checkQuiet();
  }

  /** Charges the memory for the received part of a message. */
  private void chargePart() {
    int bytes = closed ? 0 : decoder.bufferedBytes();
    int change = bytes - chargedPartBytes;
    // Set before the server may stop this connection for want of room, which charges it again.
    chargedPartBytes = bytes;
    server.updatePart(this, change, bytes > 0);
  }

  /** Whether the rest of a message is still awaited, or input is there that is not read yet. */
  boolean hasPendingInput() {
    return !closed
        && !outputShutDown
        && !readingStopped
        && (decoder.isMidMessage() || !input.isDrained());
  }

  private void handleMessage(RpcMessage message) {
    if (closed || outputShutDown) {
      return;
    }
    hasSentMessage = true;
    awaitsRest = false;
    if (message instanceof RpcMessage.Request request) {
      handleRequest(request);
    } else if (message instanceof RpcMessage.Notification notification
        && notification.method().equals("revoke")) {
      for (long id : notification.ids()) {
        if (heldRequests.remove(id)) {
          server.countAbandonedUnsubmitted();
        }
        Call call = openCalls.remove(id);
        // An id that is unknown or already answered is ignored.
        if (call != null) {
          server.dispatchLoop().abandon(call);
        }
      }
    }
  }

  private void handleRequest(RpcMessage.Request message) {
    if (openCalls.containsKey(message.id()) || heldRequests.contains(message.id())) {
      // Two answers with one id could not be told apart.
      server.counters().add(Count.BAD_REQUESTS);
      close(Count.CLIENTS_CLOSED_DUPLICATE_ID);
    } else if (message.method().equals("heartbeat")) {
      write(RpcEncoder.heartbeat(message.id(), server.lifecycle().isHealthy()));
    } else if (!server.lifecycle().acceptsCalls(server.now())) {
      lastCallAt = server.now();
      server.counters().add(Count.CALLS_REFUSED_LEAVING);
      write(RpcEncoder.refused(message.id(), SHUTDOWN_BACKOFF_MILLIS));
    } else if (openRequests() >= MAX_OPEN_REQUESTS) {
      server.counters().add(Count.CALLS_REFUSED_OPEN_REQUESTS);
      write(RpcEncoder.refused(message.id(), OVERLOAD_BACKOFF_MILLIS));
    } else {
      try {
        hold(message.id(), server.toRequest(message));
      } catch (InvalidField e) {
        server.counters().add(Count.BAD_REQUESTS);
        write(RpcEncoder.failed(message.id(), "Invalid", e.getMessage()));
      }
    }
  }

  /** Holds a request until all that its client has sent is read. */
  private void hold(long id, Request request) {
    lastCallAt = server.now();
    if (!heldRequests.add(id, request, lastCallAt)) {
      refuseUnread(id);
    } else if (heldTimer < 0 && !input.isDrained()) {
      heldTimer = server.vertx().setTimer(HELD_TIMEOUT_MILLIS, t -> onHeldTimeout());
    }
  }

  private void submitHeld() {
    cancelHeldTimer();
    for (HeldRequests.Held held : heldRequests.takeReadUntil(Long.MAX_VALUE)) {
      submit(held);
    }
  }

  private void submit(HeldRequests.Held held) {
    // Workers could not tell apart two calls with one request id.
    if (server.dispatchLoop().isInFlight(held.request().requestId())) {
      server.counters().add(Count.BAD_REQUESTS);
      write(RpcEncoder.failed(held.id(), "Invalid", "rid is that of a request in hand"));
      return;
    }
    Request request =
        held.request().afterWaiting(server.now() - held.readAt() + input.waitedMicros());
    openCalls.put(held.id(), server.dispatchLoop().submit(request, reply(held.id())));
  }

  private void cancelHeldTimer() {
    if (heldTimer >= 0) {
      server.vertx().cancelTimer(heldTimer);
      heldTimer = -1;
    }
  }

  /** Refuses the requests that were held for too long. */
  private void onHeldTimeout() {
    heldTimer = -1;
    long heldSince = server.now() - 1_000 * HELD_TIMEOUT_MILLIS;
    heldRequests.takeReadUntil(heldSince).forEach(held -> refuseUnread(held.id()));
    if (heldRequests.size() > 0) {
      heldTimer = server.vertx().setTimer(HELD_TIMEOUT_MILLIS, t -> onHeldTimeout());
    }
    restartTimeout();
    shutDownIfAnswered();
  }

  private void refuseUnread(long id) {
    server.counters().add(Count.CALLS_REFUSED_UNREAD);
    write(RpcEncoder.refused(id, OVERLOAD_BACKOFF_MILLIS));
  }

  private Reply reply(long id) {
    return new Reply() {
      @Override
      public void served(Buffer body) {
        if (server.hasRoomFor(body.length())) {
          answer(id, RpcEncoder.served(id, body));
        } else {
          server.counters().add(Count.ANSWERS_DROPPED);
          answer(id, RpcEncoder.failed(id, "Failed", "no room for its answer"));
        }
      }

      @Override
      public void refused(long backoffMillis) {
        answer(id, RpcEncoder.refused(id, backoffMillis));
      }

      @Override
      public void failed(boolean timedOut) {
        answer(id, RpcEncoder.failed(id, "Failed", timedOut ? "its time is up" : "not served"));
      }
    };
  }

  private void answer(long id, Buffer message) {
    // A revoked request gets no answer.
    if (openCalls.remove(id) != null) {
      write(message);
      restartTimeout();
      shutDownIfAnswered();
    }
  }

  private void write(Buffer message) {
    if (!closed) {
      output.write(message);
    }
  }

  /**
   * Shuts down the connection during a drain if it is idle, or if it has been busy for too long;
   * its open calls then fail. What has arrived is read before: a call may be unread although the
   * connection is idle.
   */
  void shutDownIfDue() {
    long now = server.now();
    if (isIdle() && server.lifecycle().closesIdleConnections(now)) {
      input.readNow();
    }
    if (closed || outputShutDown) {
      return;
    }
    if (server.lifecycle().closesBusyConnection(now, lastCallAt)) {
      server.counters().add(Count.BUSY_CLIENTS_CLOSED);
      heldRequests.takeReadUntil(Long.MAX_VALUE).forEach(held -> refuseUnread(held.id()));
      cancelHeldTimer();
      Map<Long, Call> aborted = new HashMap<>(openCalls);
      openCalls.clear();
      aborted.forEach(
          (id, call) -> {
            write(RpcEncoder.failed(id, "Failed", "the front end is leaving"));
            server.dispatchLoop().abandon(call);
          });
      shutDownOutput();
    } else if (server.lifecycle().closesIdleConnections(now)
        && isIdle()
        && input.isDrained()
        && (hasSentMessage || now - openedAt > FIRST_MESSAGE_MICROS)) {
      shutDownOutput();
    }
  }

  /**
   * Shuts down the output of this side once all answers are sent. A full close while the client
   * still sends would reset the connection, and the client would lose answers not yet read.
   */
  private void shutDownOutput() {
    output.flush();
    outputShutDown = true;
    server.counters().add(Count.CLIENT_CONNECTIONS_SHUT_DOWN);
    cancelTimeout();
    // A client that does not read its answers would hold the connection for ever.
    await(IDLE_TIMEOUT_MILLIS, this::endConnection);
    socket
        .write(Buffer.buffer())
        .onComplete(
            v -> {
              if (!closed) {
                channel().shutdownOutput();
                // Reading goes on in order to notice when the client closes its side.
                input.resume();
                cancelTimeout();
                await(LINGER_MILLIS, this::endConnection);
              }
            });
  }

  /**
   * Closes the connection and abandons its open calls.
   *
   * @param reason the counter of the reason
   */
  void close(Count reason) {
    if (!closed && !outputShutDown) {
      server.counters().add(reason);
    }
    endConnection();
  }

  private void endConnection() {
    if (closed) {
      return;
    }
    output.close();
    closed = true;
    cancelTimeout();
    cancelHeldTimer();
    // Closes the Netty channel directly, since NetSocket.close() waits until all is written, which
    // a client that does not read would put off for ever.
    channel().close();
    heldRequests.takeReadUntil(Long.MAX_VALUE).forEach(held -> server.countAbandonedUnsubmitted());
    openCalls.values().forEach(server.dispatchLoop()::abandon);
    openCalls.clear();
    chargePart();
    server.remove(this);
  }

  /** Reads what has arrived, out of turn. */
  void readNow() {
    input.readNow();
  }

  private DuplexChannel channel() {
    return (DuplexChannel) ((NetSocketInternal) socket).channelHandlerContext().channel();
  }
}
