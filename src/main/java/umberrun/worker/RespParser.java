package umberrun.worker;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a stream into RESP arrays of bulk strings; ours, since no client library lets ids answer out
 * of order.
 */
final class RespParser implements Handler<Buffer> {
  private static final int MOST_PARTS = 16;
  private static final int MOST_BYTES = 1 << 20;
  private static final int MOST_LINE = 32;

  private final Handler<List<Buffer>> arrays;
  private final RecordParser records = RecordParser.newDelimited("\r\n");
  private final Runnable garbage;
  private List<Buffer> parts;
  private int wanted;
  private int bulk = -1;
  private boolean broken;
  private long read;

  /** Bytes that came and belong to no record yet. */
  private long unread;

  /**
   * @param garbage is run once when the stream can't be read, and nothing more is passed on
   */
  RespParser(Handler<List<Buffer>> arrays, Runnable garbage) {
    this.arrays = arrays;
    this.garbage = garbage;
    records.maxRecordSize(MOST_LINE);
    records.handler(this::record);
    records.exceptionHandler(e -> fail());
  }

  /** One command, ready to be written. */
  static Buffer command(Buffer... parts) {
    Buffer b = Buffer.buffer(64).appendString("*" + parts.length + "\r\n");
    for (Buffer part : parts) {
      b.appendString("$" + part.length() + "\r\n").appendBuffer(part).appendString("\r\n");
    }
    return b;
  }

  /** Whether an array has begun whose end has not come. */
  boolean isMidway() {
    return parts != null || unread > 0;
  }

  /** How many whole arrays were passed on. */
  long read() {
    return read;
  }

  @Override
  public void handle(Buffer chunk) {
    if (!broken) {
      unread += chunk.length();
      records.handle(chunk);
    }
  }

  private void record(Buffer record) {
    if (broken) {
      return;
    }
    unread -= record.length() + (bulk >= 0 ? 0 : 2);
    if (bulk >= 0) {
      if (record.getByte(bulk) != '\r' || record.getByte(bulk + 1) != '\n') {
        fail();
        return;
      }
      parts.add(record.getBuffer(0, bulk));
      bulk = -1;
      records.delimitedMode("\r\n");
      records.maxRecordSize(MOST_LINE);
      if (parts.size() == wanted) {
        List<Buffer> whole = parts;
        parts = null;
        read++;
        arrays.handle(whole);
      }
    } else if (parts == null) {
      wanted = number(record, '*', MOST_PARTS);
      parts = wanted > 0 ? new ArrayList<>(wanted) : null;
      if (wanted <= 0) {
        fail();
      }
    } else {
      bulk = number(record, '$', MOST_BYTES);
      if (bulk < 0) {
        fail();
      } else {
        records.fixedSizeMode(bulk + 2);
        records.maxRecordSize(bulk + 2);
      }
    }
  }

  /** The number of a header line, or -1 where it is none, too large or of another kind. */
  private static int number(Buffer line, char kind, int most) {
    if (line.length() < 2 || line.length() > MOST_LINE || line.getByte(0) != kind) {
      return -1;
    }
    try {
      int n = Integer.parseInt(line.getString(1, line.length(), StandardCharsets.US_ASCII.name()));
      return n <= most ? n : -1;
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private void fail() {
    if (!broken) {
      broken = true;
      garbage.run();
    }
  }
}
