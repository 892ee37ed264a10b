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

/** One client's connection: its open requests, and their answers in whatever order they come. */
final class RpcConnection {
  private static final int MOST_OPEN = 32;
  private static final int QUEUE_BYTES = 64 << 10;
  private static final long CROWDED_BACKOFF_MILLIS = 100;
  private static final long LEAVING_BACKOFF_MILLIS = 50;

  /**
   * A message must be whole so long after its first byte, and the first one so long after
   * connecting.
   */
  private static final long WHOLE_MILLIS = 2_000;

  /** A connection without an open request is closed after this; clients close theirs after 4 s. */
  private static final long IDLE_MILLIS = 5_000;

  /** One that is let go of is closed by its client, or here after this. */
  private static final long LINGER_MILLIS = 1_000;

  /** What a newcomer wants to say may still be on its way when clients are let go of. */
  private static final long NEWCOMER_MICROS = 1_000_000;

  private final RpcServer front;
  private final NetSocket socket;
  private final RpcDecoder decoder = new RpcDecoder(this::message);
  private final Map<Long, Call> open = new HashMap<>();
  private final long openedAt;
  private long lastCall;
  private boolean greeted;

  /**
   * Nothing more is read, as a message never came to its end; the calls that are open get their
   * answers.
   */
  private boolean deaf;

  private boolean leaving;
  private boolean closed;

  /**
   * The wait for the rest of a message, or for the next one while no request is open; -1 while
   * there is none.
   */
  private long timer = -1;

  private boolean awaitsRest;

  RpcConnection(RpcServer front, NetSocket socket) {
    this.front = front;
    this.socket = socket;
    this.openedAt = front.now();
    socket.setWriteQueueMaxSize(QUEUE_BYTES);
    socket.handler(this::read);
    socket.closeHandler(v -> close());
    socket.exceptionHandler(e -> close());
    socket.drainHandler(
        v -> {
          socket.resume();
          watch();
        });
    await(WHOLE_MILLIS, this::close);
  }

  /**
   * Whether nothing is lost by closing it: no request is open on it, nor on its way as far as is
   * read, nor an answer.
   */
  boolean isIdle() {
    return open.isEmpty() && !decoder.isMidway() && !socket.writeQueueFull();
  }

  /**
   * Guards the descriptors against clients that say nothing, half of something, or hold on for
   * good.
   */
  private void watch() {
    if (closed || leaving || deaf || decoder.isMidway() && awaitsRest) {
      return;
    }
    front.heard(this);
    stopWaiting();
    awaitsRest = decoder.isMidway();
    if (awaitsRest) {
      await(WHOLE_MILLIS, this::stopReading);
    } else if (open.isEmpty()) {
      await(IDLE_MILLIS, this::close);
    }
  }

  private void await(long millis, Runnable then) {
    timer =
        front
            .vertx()
            .setTimer(
                millis,
                t -> {
                  timer = -1;
                  then.run();
                });
  }

  /**
   * The rest of a message does not come. What came whole before it was taken, and is owed its
   * answers first.
   */
  private void stopReading() {
    deaf = true;
    endIfDone();
    front.checkQuiet();
  }

  private void endIfDone() {
    if (deaf && open.isEmpty()) {
      letGo();
    }
  }

  private void stopWaiting() {
    if (timer >= 0) {
      front.vertx().cancelTimer(timer);
      timer = -1;
    }
  }

  private void read(Buffer piece) {
    if (closed || leaving
        || deaf) { // what crosses the end of a connection is sent again by its client
      return;
    }
    try {
      decoder.feed(piece);
    } catch (RpcDecoder.Unreadable e) { // guards the other connections: only this one ends
      front.counters().add(Count.BAD_REQUESTS);
      close();
    }
    if (greeted) { // one that has not said a whole thing yet has the time since it connected, and
      // no more
      watch();
    }
    front.checkQuiet();
  }

  /** Whether the rest of a message may still come. */
  boolean isMidway() {
    return !closed && !leaving && !deaf && decoder.isMidway();
  }

  private void message(RpcMessage message) {
    if (closed || leaving) {
      return;
    }
    greeted = true;
    awaitsRest = false;
    if (message instanceof RpcMessage.Request r) {
      request(r);
    } else if (message instanceof RpcMessage.Notification n && n.method().equals("revoke")) {
      for (long id : n.ids()) {
        Call call = open.remove(id);
        if (call != null) { // one that is unknown or answered is ignored
          front.owner().abandon(call);
        }
      }
    }
  }

  private void request(RpcMessage.Request r) {
    if (open.containsKey(r.id())) { // guards against two answers under one id
      front.counters().add(Count.BAD_REQUESTS);
      close();
    } else if (r.method().equals("heartbeat")) {
      write(RpcEncoder.heartbeat(r.id(), front.duty().isHealthy()));
    } else if (!front.duty().acceptsCalls(front.now())) {
      lastCall = front.now();
      write(RpcEncoder.refused(r.id(), LEAVING_BACKOFF_MILLIS));
    } else if (open.size() >= MOST_OPEN) {
      write(RpcEncoder.refused(r.id(), CROWDED_BACKOFF_MILLIS));
    } else {
      try {
        Request request = front.request(r);
        if (front
            .owner()
            .isInFlight(
                request
                    .requestId())) { // guards against two calls that workers could not tell apart
          throw new InvalidField("rid is that of a request in hand");
        }
        lastCall = front.now();
        open.put(r.id(), front.owner().submit(request, reply(r.id())));
      } catch (InvalidField e) {
        front.counters().add(Count.BAD_REQUESTS);
        write(RpcEncoder.failed(r.id(), "Invalid", e.getMessage()));
      }
    }
  }

  private Reply reply(long id) {
    return new Reply() {
      @Override
      public void served(Buffer body) {
        if (front.hasRoomFor(body.length())) {
          answer(id, RpcEncoder.served(id, body));
        } else {
          front.counters().add(Count.ANSWERS_DROPPED);
          answer(id, RpcEncoder.failed(id, "Failed", "no room for its answer"));
        }
      }

      @Override
      public void refused(long backoffMillis) {
        answer(id, RpcEncoder.refused(id, backoffMillis));
      }

      @Override
      public void failed(boolean overdue) {
        answer(id, RpcEncoder.failed(id, "Failed", overdue ? "its time is up" : "not served"));
      }
    };
  }

  private void answer(long id, Buffer message) {
    if (open.remove(id) != null) { // guards against an answer after a revoke
      write(message);
      watch();
      endIfDone();
    }
  }

  /**
   * Nothing more is read while the client does not take its answers, so that they can't pile up
   * here.
   */
  private void write(Buffer message) {
    if (!closed) {
      front.queue(message.length());
      socket.write(message).onComplete(v -> front.queue(-message.length()));
      if (socket.writeQueueFull()) {
        socket.pause();
      }
    }
  }

  /**
   * Lets go of the client where that is due: nothing is open here, or it goes on for too long.
   * Called by a timer alone: the loop reads what has come before it looks at timers, while a call
   * may lie unread when an answer is written.
   */
  void letGoIfDue() {
    long now = front.now();
    if (closed || leaving) {
      return;
    }
    if (front.duty().closesBusyConnection(now, lastCall)) {
      front.counters().add(Count.BUSY_CLIENTS_CLOSED);
      Map<Long, Call> ended = new HashMap<>(open);
      open.clear();
      ended.forEach(
          (id, call) -> {
            write(RpcEncoder.failed(id, "Failed", "the front end is leaving"));
            front.owner().abandon(call);
          });
      letGo();
    } else if (front.duty().closesIdleConnections(now)
        && isIdle()
        && (greeted || now - openedAt > NEWCOMER_MICROS)) {
      letGo();
    }
  }

  /**
   * Ends this side only, once all answers are out: a close while the client still sends would reset
   * the connection, and with it the answers that the client has not read yet.
   */
  private void letGo() {
    leaving = true;
    front.counters().add(Count.CLIENT_CONNECTIONS_SHUT_DOWN);
    stopWaiting();
    socket
        .write(Buffer.buffer())
        .onComplete(
            v -> {
              if (!closed) {
                ((DuplexChannel) ((NetSocketInternal) socket).channelHandlerContext().channel())
                    .shutdownOutput();
                socket.resume(); // so that the client's own end is seen
                await(LINGER_MILLIS, this::close);
              }
            });
  }

  void close() {
    if (!closed) {
      closed = true;
      stopWaiting();
      socket.close();
      open.values().forEach(front.owner()::abandon);
      open.clear();
      front.closed(this);
    }
  }
}
