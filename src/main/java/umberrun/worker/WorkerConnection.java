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
import umberrun.core.Clock;

/** One connection to a worker: what is out on it, and what waits to be written. */
final class WorkerConnection {
  /** Who a link belongs to. */
  interface Listener {
    /**
     * Whether new work may still be written: false soon after the worker was told to drain or be
     * gone.
     */
    boolean mayStart(long now);

    /** New work was given back unwritten, since it may no longer start. */
    void withheld();

    void closed(WorkerConnection link);
  }

  private static final int QUEUE_BYTES = 64 << 10;
  private static final int MOST_STALE = 256;

  /** A worker writes an answer in one piece: one that is not whole by then never will be. */
  private static final long STUCK_MILLIS = 250;

  /**
   * One that owes so many answers and says nothing for so long is asked whether it is there, and
   * has as long again.
   */
  private static final int OWES_MANY = 3;

  private static final long SILENT_MILLIS = 300;
  private static final Buffer ASK =
      RespParser.command(Buffer.buffer("NOOP"), Buffer.buffer("here"));

  private final Vertx vertx;
  private final Clock clock;
  private final Listener home;
  private final long idleMillis;
  private final Map<Buffer, PendingCommand> out = new HashMap<>();
  private final ArrayDeque<PendingCommand> waiting = new ArrayDeque<>();

  /**
   * Ids of calls that may be tried again while an answer, or a second copy of it, may still come:
   * not here.
   */
  private final Set<Buffer> stale = new HashSet<>();

  private NetSocket socket;
  private long heardAt;
  private RespParser parser;
  private long idleTimer = -1;
  private long stuckTimer = -1;
  private long silentTimer = -1;
  private boolean retired;
  private boolean closed;

  /**
   * @param idleMillis after which it is closed while nothing is out on it; 0 for never
   */
  WorkerConnection(Vertx vertx, Clock clock, Listener home, long idleMillis) {
    this.vertx = vertx;
    this.clock = clock;
    this.home = home;
    this.idleMillis = idleMillis;
  }

  /** Takes the connection once it is up. */
  void opened(NetSocket s) {
    if (closed) {
      s.close();
      return;
    }
    socket = s;
    heardAt = clock.now();
    s.setWriteQueueMaxSize(QUEUE_BYTES);
    parser = new RespParser(this::answer, this::close);
    s.handler(this::read);
    s.closeHandler(v -> close());
    s.exceptionHandler(e -> close());
    s.drainHandler(v -> flush());
    flush();
    watchIdle();
  }

  /**
   * Guards all that is out here against an answer that stops midway, or whose length takes in the
   * next ones.
   */
  private void read(Buffer chunk) {
    long before = parser.read();
    parser.handle(chunk);
    if (parser.read() > before) {
      cancelStuck();
    }
    cancelSilent();
    watchSilence(false);
    if (parser.isMidway() && stuckTimer < 0 && !closed) {
      stuckTimer =
          vertx.setTimer(
              STUCK_MILLIS,
              t -> {
                stuckTimer = -1;
                close();
              });
    }
  }

  private void cancelStuck() {
    if (stuckTimer >= 0) {
      vertx.cancelTimer(stuckTimer);
      stuckTimer = -1;
    }
  }

  /**
   * Guards what is out here, and what would follow, against a connection that stays open and is of
   * no further use: the worker may be well, and without an answer all would wait until their time
   * is up.
   */
  private void watchSilence(boolean asked) {
    if (silentTimer < 0 && !closed && out.size() >= OWES_MANY) {
      silentTimer =
          vertx.setTimer(
              SILENT_MILLIS,
              t -> {
                silentTimer = -1;
                if (asked) {
                  close();
                } else if (out.size() >= OWES_MANY) {
                  socket.write(ASK);
                  watchSilence(true);
                }
              });
    }
  }

  private void cancelSilent() {
    if (silentTimer >= 0) {
      vertx.cancelTimer(silentTimer);
      silentTimer = -1;
    }
  }

  /** The connection never came up: nothing that waits for it has run. */
  void refused() {
    end(OutcomeCode.CONNECT_FAILED);
  }

  int load() {
    return out.size() + waiting.size();
  }

  /** Whether it is up and nothing is out on it. */
  boolean isIdle() {
    return socket != null && !closed && load() == 0;
  }

  /** When the worker was last heard here, or the link came up. */
  long heardAt() {
    return heardAt;
  }

  boolean accepts(PendingCommand x, int most) {
    return !closed
        && !retired
        && load() < most
        && !out.containsKey(x.id)
        && !stale.contains(x.id)
        && waiting.stream().noneMatch(w -> w.id.equals(x.id));
  }

  void submit(PendingCommand x) {
    long now = clock.now();
    cancelIdle();
    x.timer = vertx.setTimer(Math.max(1, (x.deadline - now + 999) / 1_000), t -> expired(x));
    waiting.add(x);
    flush();
    watchIdle(); // what has no answer is over by now
  }

  /** Gives an exchange up before its time. */
  boolean withdraw(Buffer id, OutcomeCode code) {
    PendingCommand x = out.get(id);
    if (x == null) {
      x = waiting.stream().filter(w -> w.id.equals(id)).findFirst().orElse(null);
    }
    if (x != null) {
      giveUp(x, code);
    }
    return x != null;
  }

  /**
   * Takes nothing new, gives back what was not written yet, and closes once all that is out has
   * ended. Guards what waits for the connection to come up: it would go to an address that by now
   * is another's, or to a worker that drains.
   */
  void retire() {
    retired = true;
    List<PendingCommand> unsent = new ArrayList<>(waiting);
    waiting.clear();
    unsent.forEach(x -> lose(x, OutcomeCode.MOOT));
    closeIfIdle();
  }

  void closeIfIdle() {
    if (load() == 0) {
      close();
    }
  }

  /** Whether bytes handed to the connection have not left this process yet. */
  boolean isStuck() {
    ChannelOutboundBuffer unsent =
        socket == null ? null : handlers().channel().unsafe().outboundBuffer();
    return unsent != null && unsent.totalPendingWriteBytes() > 0;
  }

  void close() {
    end(OutcomeCode.RESET);
  }

  private ChannelHandlerContext handlers() {
    return ((NetSocketInternal) socket).channelHandlerContext();
  }

  private void flush() {
    while (socket != null && !closed && !waiting.isEmpty() && !socket.writeQueueFull()) {
      PendingCommand x = waiting.poll();
      long now = clock.now();
      // Guards rule 3, and callers who have gone: what was queued before the worker drained, or
      // before its caller left.
      boolean withheld = x.isNewWork() && !home.mayStart(now);
      if (withheld) {
        home.withheld();
      }
      if (withheld || !x.isWanted(now)) {
        drop(x);
        x.lost(OutcomeCode.MOOT);
        continue;
      }
      socket.write(x.command(now));
      if (x.isOneWay()) {
        drop(x);
        continue;
      }
      x.written = true;
      x.writtenAt = now;
      out.put(x.id, x);
    }
    watchSilence(false);
  }

  private void expired(PendingCommand x) {
    x.timer = -1;
    boolean silent = x.written && heardAt < x.writtenAt;
    giveUp(x, OutcomeCode.TIMEOUT);
    if (silent) { // guards against a machine that is cut off: its connections stay open and say
      // nothing
      retire();
    }
  }

  private void giveUp(PendingCommand x, OutcomeCode code) {
    boolean written = out.remove(x.id) != null;
    waiting.remove(x);
    drop(x);
    if (written && !closed) {
      avoid(x.id);
      if (x.withdrawal() != null) {
        socket.write(x.withdrawal());
      }
    }
    x.lost(written ? code : OutcomeCode.MOOT);
    watchIdle();
  }

  private void avoid(Buffer id) {
    stale.add(id);
    retired |=
        stale.size()
            > MOST_STALE; // guards the memory: a worker that answers nothing, or nothing good
  }

  private void answer(List<Buffer> parts) {
    heardAt = clock.now();
    PendingCommand x = out.remove(parts.get(0));
    if (x == null) {
      stale.remove(parts.get(0)); // the late answer of one that was given up
      return;
    }
    drop(x);
    if (!x.isSettledBy(parts)) {
      avoid(x.id);
    }
    x.answered(parts);
    watchIdle();
    if (retired) {
      closeIfIdle();
    }
  }

  private void end(OutcomeCode code) {
    if (closed) {
      return;
    }
    closed = true;
    cancelIdle();
    cancelStuck();
    cancelSilent();
    if (socket != null) {
      // Past the library's close, which waits until all is written: guards rule 3, callers who have
      // gone and the descriptors against
      // a worker that reads on when its commands have long been given up.
      handlers().close();
    }
    List<PendingCommand> sent = new ArrayList<>(out.values());
    List<PendingCommand> unsent = new ArrayList<>(waiting);
    out.clear();
    waiting.clear();
    sent.forEach(x -> lose(x, code));
    unsent.forEach(x -> lose(x, OutcomeCode.CONNECT_FAILED)); // never written, so it never ran
    home.closed(this);
  }

  private void lose(PendingCommand x, OutcomeCode code) {
    drop(x);
    x.lost(code);
  }

  private void drop(PendingCommand x) {
    if (x.timer >= 0) {
      vertx.cancelTimer(x.timer);
      x.timer = -1;
    }
  }

  /**
   * Closes before the worker would: a command that crosses its close would count as one that may
   * have run.
   */
  private void watchIdle() {
    if (load() == 0 && !closed && socket != null && idleMillis > 0) {
      cancelIdle();
      idleTimer = vertx.setTimer(idleMillis, t -> close());
    }
  }

  private void cancelIdle() {
    if (idleTimer >= 0) {
      vertx.cancelTimer(idleTimer);
      idleTimer = -1;
    }
  }
}
